#pragma once

#include <burdock/values/failure.h>

#include <nlohmann/json.hpp>
#include <string>

namespace Burdock
{

/// Parses JSON of another process. Fails with BadRequest if it is malformed or nested deeper than any message that we read: a value
/// of a megabyte can be nested half a million times, and would take many times its size.
Result<nlohmann::json> parseJson(const std::string &text);

/// Writes JSON on one line. Bytes that are not UTF-8 are replaced: texts that came from elsewhere may contain any.
std::string writeJson(const nlohmann::json &value);
std::string writeJson(const nlohmann::ordered_json &value);

} // namespace Burdock
