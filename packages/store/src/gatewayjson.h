#pragma once

#include <burdock/store/store.h>

#include <nlohmann/json.hpp>
#include <string>

namespace Burdock::GatewayJson
{

// Client-side encoding and decoding of the JSON of the etcd v3 gateway. Decoding throws if a reply is malformed.

nlohmann::json rangeRequest(const std::string &key, bool prefix, std::int64_t limit);
nlohmann::json transactionRequest(const StoreTransaction &transaction);
nlohmann::json watchRequest(const std::string &key, bool prefix, std::int64_t fromRevision);

StoreRange rangeReply(const nlohmann::json &reply);
StoreCommit transactionReply(const nlohmann::json &reply);

/// Reads a 64-bit number, which the gateway may send as a string; 0 if the field is missing.
std::int64_t number(const nlohmann::json &object, const char *field);

/// One message of a watch stream.
struct WatchLine
{
    bool created = false;
    bool cancelled = false;
    bool compacted = false;
    std::vector<StoreEntry> changes;
};

WatchLine watchLine(const std::string &line);

} // namespace Burdock::GatewayJson
