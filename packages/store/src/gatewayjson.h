#pragma once

#include <burdock/store/store.h>

#include <nlohmann/json.hpp>
#include <string>

namespace Burdock::GatewayJson
{

/// The JSON of the etcd v3 gateway, from the client's side. Reading throws where a reply is malformed.

nlohmann::json rangeRequest(const std::string &key, bool prefix, std::int64_t limit);
nlohmann::json transactionRequest(const StoreTransaction &transaction);
nlohmann::json watchRequest(const std::string &key, bool prefix, std::int64_t fromRevision);

StoreRange rangeReply(const nlohmann::json &reply);
StoreCommit transactionReply(const nlohmann::json &reply);

/// A 64-bit number of the gateway; 0 where the field is left out.
std::int64_t number(const nlohmann::json &object, const char *field);

/// One line of a watch.
struct WatchLine
{
    bool created = false;
    bool cancelled = false;
    bool compacted = false;
    std::vector<StoreEntry> changes;
};

WatchLine watchLine(const std::string &line);

} // namespace Burdock::GatewayJson
