#include "gatewayjson.h"

#include <websocketpp/base64/base64.hpp>

namespace Burdock::GatewayJson
{

using Json = nlohmann::json;

namespace
{

std::string encodeBytes(const std::string &bytes)
{
    return websocketpp::base64_encode(bytes);
}

std::string decodeBytes(const Json &object, const char *field)
{
    return websocketpp::base64_decode(object.value(field, std::string()));
}

/// Returns the exclusive end of the range of keys that begin with `prefix`; a single zero byte means no end.
std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty()) {
        auto &last = reinterpret_cast<unsigned char &>(prefix.back());
        if (last < 0xff) {
            ++last;
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');
}

void setKeyRange(Json &object, const std::string &key, bool prefix)
{
    object["key"] = encodeBytes(key);
    if (prefix) {
        object["range_end"] = encodeBytes(prefixEnd(key));
    }
}

Json conditionJson(const StoreCondition &condition)
{
    return {{"key", encodeBytes(condition.key)}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", std::to_string(condition.modRevision)}};
}

Json writeJson(const StoreWrite &write)
{
    if (!write.value) {
        Json range{{"key", encodeBytes(write.key)}};
        if (!write.deleteEnd.empty()) {
            range["range_end"] = encodeBytes(write.deleteEnd);
        }
        return {{"request_delete_range", std::move(range)}};
    }
    return {{"request_put", {{"key", encodeBytes(write.key)}, {"value", encodeBytes(*write.value)}, {"lease", std::to_string(write.lease)}}}};
}

StoreEntry entryOf(const Json &object)
{
    StoreEntry entry;
    entry.key = decodeBytes(object, "key");
    entry.value = decodeBytes(object, "value");
    entry.modRevision = number(object, "mod_revision");
    entry.lease = number(object, "lease");
    return entry;
}

std::vector<StoreEntry> entriesOf(const Json &object)
{
    std::vector<StoreEntry> entries;
    for (const Json &each : object.value("kvs", Json::array())) {
        entries.push_back(entryOf(each));
    }
    return entries;
}

std::int64_t revisionOf(const Json &reply)
{
    return number(reply.at("header"), "revision");
}

} // namespace

std::int64_t number(const Json &object, const char *field)
{
    const auto found = object.find(field);
    if (found == object.end()) {
        return 0;
    }
    return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

Json rangeRequest(const std::string &key, bool prefix, std::int64_t limit)
{
    Json request;
    setKeyRange(request, key, prefix);
    if (limit > 0) {
        request["limit"] = std::to_string(limit);
    }
    return request;
}

Json transactionRequest(const StoreTransaction &transaction)
{
    Json request{{"compare", Json::array()}, {"success", Json::array()}, {"failure", Json::array()}};
    for (const StoreCondition &condition : transaction.conditions) {
        request["compare"].push_back(conditionJson(condition));
    }
    for (const StoreWrite &write : transaction.writes) {
        request["success"].push_back(writeJson(write));
    }
    for (const std::string &key : transaction.readOnConflict) {
        request["failure"].push_back(Json{{"request_range", rangeRequest(key, false, 0)}});
    }
    return request;
}

Json watchRequest(const std::string &key, bool prefix, std::int64_t fromRevision)
{
    Json create{{"start_revision", std::to_string(fromRevision + 1)}};
    setKeyRange(create, key, prefix);
    return {{"create_request", std::move(create)}};
}

StoreRange rangeReply(const Json &reply)
{
    return {entriesOf(reply), revisionOf(reply)};
}

StoreCommit transactionReply(const Json &reply)
{
    StoreCommit commit;
    commit.succeeded = reply.value("succeeded", false);
    commit.revision = revisionOf(reply);
    if (commit.succeeded) {
        return commit;
    }
    for (const Json &response : reply.value("responses", Json::array())) {
        for (StoreEntry &entry : entriesOf(response.at("response_range"))) {
            commit.current.push_back(std::move(entry));
        }
    }
    return commit;
}

WatchLine watchLine(const std::string &line)
{
    const Json result = Json::parse(line).at("result");
    WatchLine read;
    read.created = result.value("created", false);
    read.cancelled = result.value("canceled", false);
    read.compacted = number(result, "compact_revision") > 0;
    for (const Json &event : result.value("events", Json::array())) {
        StoreEntry entry = entryOf(event.at("kv"));
        entry.deleted = event.value("type", "PUT") == "DELETE";
        read.changes.push_back(std::move(entry));
    }
    return read;
}

} // namespace Burdock::GatewayJson
