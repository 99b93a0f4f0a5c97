#pragma once

#include <burdock/values/failure.h>

#include <nlohmann/json.hpp>
#include <string>

namespace Burdock
{

/// Parses a CBOR message of another process. Fails with BadRequest if it is malformed or nested deeper than any message of ours:
/// the library's parser recurses, so deep nesting would exhaust the stack.
Result<nlohmann::json> parseCbor(const std::string &bytes);

} // namespace Burdock
