#pragma once

#include <string>

namespace Burdock
{

/// The text as a value in the query of a request target: all but unreserved characters as percent codes.
std::string percentEncoded(const std::string &text);

} // namespace Burdock
