#include <burdock/fakes/etcdjson.h>

#include <stdexcept>
#include <websocketpp/base64/base64.hpp>

namespace Burdock::EtcdJson
{

using Json = nlohmann::json;

std::string encodeBytes(const std::string &bytes)
{
    return websocketpp::base64_encode(bytes);
}

std::string decodeBytes(const Json &object, const char *field)
{
    return websocketpp::base64_decode(object.value(field, std::string()));
}

std::int64_t number(const Json &object, const char *field)
{
    const auto found = object.find(field);
    if (found == object.end()) {
        return 0;
    }
    return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

namespace
{

/// Sets a number field; the gateway omits fields that are zero.
void setNumber(Json &object, const char *field, std::int64_t value)
{
    if (value != 0) {
        object[field] = std::to_string(value);
    }
}

template<class T>
T oneOf(const Json &object, const char *field, T fallback, std::initializer_list<std::pair<const char *, T>> names)
{
    if (!object.contains(field)) {
        return fallback;
    }
    for (const auto &name : names) {
        if (object.at(field) == name.first) {
            return name.second;
        }
    }
    throw std::invalid_argument(std::string("unknown ") + field);
}

Json operationResponse(const OperationResult &result, std::int64_t revision)
{
    switch (result.kind) {
    case Operation::Kind::Range:
        return {{"response_range", rangeResponse(result.range, revision)}};
    case Operation::Kind::Put:
        return {{"response_put", {{"header", header(revision)}}}};
    case Operation::Kind::Delete:
        return {{"response_delete_range", {{"header", header(revision)}, {"deleted", std::to_string(result.deleted)}}}};
    }
    return {};
}

} // namespace

Json header(std::int64_t revision)
{
    return {{"cluster_id", "1"}, {"member_id", "1"}, {"revision", std::to_string(revision)}, {"raft_term", "1"}};
}

Json keyValue(const StoredKey &entry)
{
    Json object{{"key", encodeBytes(entry.key)}};
    if (!entry.value.empty()) {
        object["value"] = encodeBytes(entry.value);
    }
    setNumber(object, "create_revision", entry.createRevision);
    setNumber(object, "mod_revision", entry.modRevision);
    setNumber(object, "version", entry.version);
    setNumber(object, "lease", entry.lease);
    return object;
}

Json rangeResponse(const RangeResult &result, std::int64_t revision)
{
    Json object{{"header", header(revision)}};
    for (const StoredKey &entry : result.entries) {
        object["kvs"].push_back(keyValue(entry));
    }
    setNumber(object, "count", result.count);
    if (result.more) {
        object["more"] = true;
    }
    return object;
}

Json transactionResponse(const TransactionResult &result, std::int64_t revision)
{
    Json object{{"header", header(revision)}};
    if (result.succeeded) {
        object["succeeded"] = true;
    }
    for (const OperationResult &response : result.responses) {
        object["responses"].push_back(operationResponse(response, revision));
    }
    return object;
}

Json events(const std::vector<StoredEvent> &events)
{
    Json list = Json::array();
    for (const StoredEvent &event : events) {
        Json object{{"kv", keyValue(event.entry)}};
        if (event.deleted) {
            object["type"] = "DELETE";
        }
        list.push_back(std::move(object));
    }
    return list;
}

KeySpan span(const Json &object)
{
    return {decodeBytes(object, "key"), decodeBytes(object, "range_end")};
}

Compare compare(const Json &object)
{
    using Target = Compare::Target;
    using Relation = Compare::Relation;
    Compare compare;
    compare.key = decodeBytes(object, "key");
    compare.target =
        oneOf<Target>(object,
                      "target",
                      Target::Version,
                      {{"VERSION", Target::Version}, {"CREATE", Target::Create}, {"MOD", Target::Mod}, {"VALUE", Target::Value}, {"LEASE", Target::Lease}});
    compare.relation =
        oneOf<Relation>(object,
                        "result",
                        Relation::Equal,
                        {{"EQUAL", Relation::Equal}, {"NOT_EQUAL", Relation::NotEqual}, {"GREATER", Relation::Greater}, {"LESS", Relation::Less}});
    for (const char *const field : {"version", "create_revision", "mod_revision", "lease"}) {
        compare.number += number(object, field);
    }
    compare.value = decodeBytes(object, "value");
    return compare;
}

Operation put(const Json &object)
{
    Operation operation;
    operation.kind = Operation::Kind::Put;
    operation.span.key = decodeBytes(object, "key");
    operation.value = decodeBytes(object, "value");
    operation.lease = number(object, "lease");
    return operation;
}

Operation operation(const Json &object)
{
    if (object.contains("request_put")) {
        return put(object.at("request_put"));
    }
    Operation operation;
    const bool erases = object.contains("request_delete_range");
    const Json &inner = object.at(erases ? "request_delete_range" : "request_range");
    operation.kind = erases ? Operation::Kind::Delete : Operation::Kind::Range;
    operation.span = span(inner);
    operation.limit = number(inner, "limit");
    return operation;
}

} // namespace Burdock::EtcdJson
