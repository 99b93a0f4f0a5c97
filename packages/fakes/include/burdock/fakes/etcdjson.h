#pragma once

#include <burdock/fakes/storestate.h>

#include <nlohmann/json.hpp>
#include <string>

namespace Burdock
{

/// Server-side encoding and decoding of the etcd v3 JSON gateway. Malformed input throws.
namespace EtcdJson
{

std::string encodeBytes(const std::string &bytes);
std::string decodeBytes(const nlohmann::json &object, const char *field);

/// Reads a 64-bit number, which the gateway accepts as a string or a number; 0 if the field is absent.
std::int64_t number(const nlohmann::json &object, const char *field);

nlohmann::json header(std::int64_t revision);
nlohmann::json keyValue(const StoredKey &entry);
nlohmann::json rangeResponse(const RangeResult &result, std::int64_t revision);
nlohmann::json transactionResponse(const TransactionResult &result, std::int64_t revision);
nlohmann::json events(const std::vector<StoredEvent> &events);

KeySpan span(const nlohmann::json &object);
Compare compare(const nlohmann::json &object);
Operation operation(const nlohmann::json &object);
Operation put(const nlohmann::json &object);

} // namespace EtcdJson

} // namespace Burdock
