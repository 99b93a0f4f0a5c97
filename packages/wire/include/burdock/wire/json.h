#pragma once

#include <burdock/values/failure.h>

#include <nlohmann/json.hpp>
#include <string>

namespace Burdock
{

/// Parses JSON of another process. Fails with BadRequest if it is malformed or nested deeper than any message that we read: a value
/// of a megabyte can be nested half a million times, and would take many times its size.
Result<nlohmann::json> parseJson(const std::string &text);

} // namespace Burdock
