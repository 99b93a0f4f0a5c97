#pragma once

#include <string>

namespace Burdock
{

/// Percent-encodes all characters except the unreserved ones of RFC 3986, for use as a query parameter value.
std::string percentEncode(const std::string &text);

} // namespace Burdock
