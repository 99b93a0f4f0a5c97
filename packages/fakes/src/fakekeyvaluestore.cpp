#include <burdock/fakes/fakekeyvaluestore.h>

#include <algorithm>
#include <cstdlib>
#include <event2/http.h>
#include <nlohmann/json.hpp>
#include <utility>
#include <websocketpp/base64/base64.hpp>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

constexpr int OkStatus = 200;
constexpr int BadRequestStatus = 400;
constexpr int ForbiddenStatus = 403;
constexpr int NotFoundStatus = 404;
constexpr int GoneStatus = 410;
constexpr int ConflictStatus = 412;
constexpr std::int64_t MaxWaitMs = 30000;
constexpr std::size_t MaxEntries = 32;

const std::string Base = "/burdocklanding/";
const std::string KeepPath = Base + "kv-keep/";
const std::string EndLeasePath = Base + "kv-lease-end/";

std::string parameter(const HttpServerRequest &request, const char *name, const std::string &fallback = {})
{
    const auto found = request.query.find(name);
    if (found == request.query.end()) {
        return fallback;
    }
    const std::unique_ptr<char, void (*)(void *)> plain(evhttp_uridecode(found->second.c_str(), 0, nullptr), &std::free);
    return plain.get();
}

bool startsWith(const std::string &text, const std::string &start)
{
    return text.compare(0, start.size(), start) == 0;
}

/// Returns the span of all keys with a prefix.
KeySpan spanOf(const std::string &prefix)
{
    std::string end = prefix;
    while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xff) {
        end.pop_back();
    }
    if (end.empty()) {
        return {prefix.empty() ? std::string(1, '\0') : prefix, std::string(1, '\0')};
    }
    end.back() = static_cast<char>(end.back() + 1);
    return {prefix, end};
}

Json itemJson(const StoredKey &entry)
{
    return {{"key", entry.key},
            {"value", websocketpp::base64_encode(entry.value)},
            {"revision", entry.modRevision},
            {"createRev", entry.createRevision},
            {"lease", entry.lease}};
}

/// Whether a key may be written only by the operator and the servers.
bool reserved(const std::string &key)
{
    return startsWith(key, "op/") || startsWith(key, "servers/");
}

} // namespace

FakeKeyValueStore::FakeKeyValueStore(Runtime &runtime)
    : runtime_(runtime)
    , state_(runtime)
    , listener_(state_.addListener([this](std::int64_t, const std::vector<StoredEvent> &) { onChanged(); }))
{
}

FakeKeyValueStore::~FakeKeyValueStore()
{
    state_.removeListener(listener_);
    for (const Poll &poll : polls_) {
        runtime_.cancel(poll.timer);
    }
}

void FakeKeyValueStore::put(const std::string &key, const std::string &value, std::int64_t lease)
{
    state_.transact({}, {Operation{Operation::Kind::Put, {key, {}}, value, lease, 0}}, {});
}

void FakeKeyValueStore::remove(const std::string &key)
{
    state_.transact({}, {Operation{Operation::Kind::Delete, {key, {}}, {}, 0, 0}}, {});
}

void FakeKeyValueStore::handle(const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder)
{
    if (request.path == Base + "kv-watch") {
        return watch(request, responder);
    }
    Reply reply;
    try {
        reply = serve(request);
    } catch (const std::exception &error) {
        reply = {BadRequestStatus, Json{{"error", error.what()}}.dump()};
    }
    responder->respond(response(reply.status, std::move(reply.body)));
}

HttpServerResponse FakeKeyValueStore::response(int status, std::string body) const
{
    return {status, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(history_)}}, std::move(body), true};
}

void FakeKeyValueStore::restore(const StoreState::Copy &copy)
{
    state_.restore(copy);
    ++history_;
    while (!polls_.empty()) {
        const Poll poll = polls_.front();
        runtime_.cancel(poll.timer);
        polls_.pop_front();
        answerPoll(poll, true);
    }
}

FakeKeyValueStore::Reply FakeKeyValueStore::serve(const HttpServerRequest &request)
{
    const bool get = request.method == "GET";
    const bool post = request.method == "POST";
    const auto body = [&request] { return request.body.empty() ? Json::object() : Json::parse(request.body); };
    if (get && request.path == Base + "kv-range") {
        return range(request);
    }
    if (get && request.path == Base + "kv-key") {
        return item(request);
    }
    if (post && request.path == Base + "kv-txn") {
        return transact(body());
    }
    if (post && request.path == Base + "kv-lease") {
        return grant(body());
    }
    if (post && startsWith(request.path, KeepPath)) {
        return renewLease(std::stoll(request.path.substr(KeepPath.size())));
    }
    if (request.method == "DELETE" && startsWith(request.path, EndLeasePath)) {
        return endLease(std::stoll(request.path.substr(EndLeasePath.size())));
    }
    return {NotFoundStatus, "{}"};
}

FakeKeyValueStore::Reply FakeKeyValueStore::range(const HttpServerRequest &request)
{
    ++counters_.reads;
    KeySpan span = spanOf(parameter(request, "prefix"));
    const std::string after = parameter(request, "after");
    if (!after.empty()) {
        span.key = after + std::string(1, '\0');
    }
    const RangeResult found = state_.range(span, static_cast<std::int64_t>(pageSize_));
    Json items = Json::array();
    for (const StoredKey &entry : found.entries) {
        items.push_back(itemJson(entry));
    }
    return {OkStatus, Json{{"items", std::move(items)}, {"hasMore", found.more}, {"storeRevision", state_.revision()}}.dump()};
}

FakeKeyValueStore::Reply FakeKeyValueStore::item(const HttpServerRequest &request)
{
    ++counters_.reads;
    const RangeResult found = state_.range({parameter(request, "key"), {}}, 1);
    if (found.entries.empty()) {
        return {NotFoundStatus, Json{{"storeRevision", state_.revision()}}.dump()};
    }
    Json read = itemJson(found.entries.front());
    read["storeRevision"] = state_.revision();
    return {OkStatus, read.dump()};
}

FakeKeyValueStore::Reply FakeKeyValueStore::transact(const Json &body)
{
    ++counters_.writes;
    std::vector<Compare> compares;
    std::vector<Operation> writes;
    std::vector<Operation> reads;
    for (const Json &row : body.value("expect", Json::array())) {
        const auto key = row.at("key").get<std::string>();
        compares.push_back({key, Compare::Target::Mod, Compare::Relation::Equal, row.at("revision").get<std::int64_t>(), {}});
        reads.push_back({Operation::Kind::Range, {key, {}}, {}, 0, 0});
    }
    for (const Json &row : body.value("puts", Json::array())) {
        const auto key = row.at("key").get<std::string>();
        writes.push_back(
            {Operation::Kind::Put, {key, {}}, websocketpp::base64_decode(row.at("value").get<std::string>()), row.value("lease", std::int64_t{0}), 0});
    }
    for (const Json &key : body.value("remove", Json::array())) {
        writes.push_back({Operation::Kind::Delete, {key.get<std::string>(), {}}, {}, 0, 0});
    }
    if (std::any_of(writes.begin(), writes.end(), [](const Operation &write) { return reserved(write.span.key); })) {
        return {ForbiddenStatus, "{}"};
    }
    if (compares.size() + writes.size() > MaxEntries) {
        return {BadRequestStatus, "{}"};
    }
    const TransactionResult result = state_.transact(compares, writes, reads);
    if (!result.error.empty()) {
        return {NotFoundStatus, Json{{"error", result.error}}.dump()};
    }
    if (result.succeeded) {
        return {OkStatus, Json{{"revision", state_.revision()}}.dump()};
    }
    Json items = Json::array();
    for (const OperationResult &read : result.responses) {
        for (const StoredKey &entry : read.range.entries) {
            items.push_back(itemJson(entry));
        }
    }
    return {ConflictStatus, Json{{"items", std::move(items)}}.dump()};
}

FakeKeyValueStore::Reply FakeKeyValueStore::grant(const Json &body)
{
    ++counters_.writes;
    constexpr std::int64_t MillisecondsPerSecond = 1000;
    const auto ttl = body.at("ttlMs").get<std::int64_t>();
    const auto lease = state_.grantLease(0, ttl / MillisecondsPerSecond);
    return {OkStatus, Json{{"lease", lease.value_or(0)}, {"ttlMs", ttl}}.dump()};
}

FakeKeyValueStore::Reply FakeKeyValueStore::renewLease(std::int64_t lease)
{
    ++counters_.renewals;
    constexpr std::int64_t MillisecondsPerSecond = 1000;
    const std::int64_t seconds = state_.keepLeaseAlive(lease);
    return seconds == 0 ? Reply{NotFoundStatus, "{}"} : Reply{OkStatus, Json{{"ttlMs", seconds * MillisecondsPerSecond}}.dump()};
}

FakeKeyValueStore::Reply FakeKeyValueStore::endLease(std::int64_t lease)
{
    ++counters_.writes;
    return {state_.revokeLease(lease) ? OkStatus : NotFoundStatus, "{}"};
}

void FakeKeyValueStore::watch(const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder)
{
    ++counters_.watches;
    Poll poll{parameter(request, "prefix"), std::stoll(parameter(request, "after", "0")), responder, 0};
    if (answerPoll(poll, false)) {
        return;
    }
    const std::int64_t wait = std::min<std::int64_t>(std::stoll(parameter(request, "waitMs", "0")), MaxWaitMs);
    const auto pending = polls_.insert(polls_.end(), std::move(poll));
    pending->timer = runtime_.schedule(std::chrono::milliseconds(wait), [this, pending] {
        const Poll ended = *pending;
        polls_.erase(pending);
        answerPoll(ended, true);
    });
    responder->setDisconnectHandler([this, pending] {
        runtime_.cancel(pending->timer);
        polls_.erase(pending);
    });
}

bool FakeKeyValueStore::answerPoll(const Poll &poll, bool ended)
{
    const auto history = state_.history(spanOf(poll.prefix), poll.after + 1);
    if (!history) {
        poll.responder->respond(response(GoneStatus, "{}"));
        return true;
    }
    if (history->empty() && !ended) {
        return false;
    }
    Json events = Json::array();
    for (const StoredEvent &event : *history) {
        if (event.deleted) {
            events.push_back({{"key", event.entry.key}, {"revision", event.entry.modRevision}, {"tombstone", true}});
        } else {
            events.push_back(itemJson(event.entry));
        }
    }
    poll.responder->respond(response(OkStatus, Json{{"events", std::move(events)}, {"storeRevision", state_.revision()}}.dump()));
    return true;
}

void FakeKeyValueStore::onChanged()
{
    for (auto poll = polls_.begin(); poll != polls_.end();) {
        const auto next = std::next(poll);
        if (answerPoll(*poll, false)) {
            runtime_.cancel(poll->timer);
            polls_.erase(poll);
        }
        poll = next;
    }
}

} // namespace Burdock
