#pragma once

#include <string>

namespace Burdock
{

/// A whole HTTP answer for a request that was refused before it reached the handler: the JSON error body that
/// docs/INTERFACES.md describes, verdict `notRun`, and the connection closes. Status 413 or 400.
std::string refusalBytes(int status);

} // namespace Burdock
