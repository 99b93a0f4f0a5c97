#include <burdock/fakes/fakestore.h>

#include <burdock/fakes/etcdjson.h>

#include <algorithm>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

constexpr int BadRequestStatus = 400;
constexpr int NotFoundStatus = 404;
/// The gRPC codes that the gateway puts into its errors.
constexpr int InvalidArgument = 3;
constexpr int NotFoundCode = 5;
constexpr const char *LeaseNotFound = "etcdserver: requested lease not found";

/// The gateway's answer to one call.
struct GatewayReply
{
    int status = 200;
    Json body;
};

GatewayReply failed(int status, int code, const std::string &message)
{
    return {status, Json{{"error", message}, {"message", message}, {"code", code}}};
}

GatewayReply refused(const std::string &message)
{
    return message == LeaseNotFound ? failed(NotFoundStatus, NotFoundCode, message) : failed(BadRequestStatus, InvalidArgument, message);
}

GatewayReply range(StoreState &state, const Json &body)
{
    return {200, EtcdJson::rangeResponse(state.range(EtcdJson::span(body), EtcdJson::number(body, "limit")), state.revision())};
}

GatewayReply put(StoreState &state, const Json &body)
{
    const TransactionResult result = state.transact({}, {EtcdJson::put(body)}, {});
    return result.error.empty() ? GatewayReply{200, Json{{"header", EtcdJson::header(state.revision())}}} : refused(result.error);
}

template<class T>
std::vector<T> listOf(const Json &body, const char *field, T (*read)(const Json &))
{
    std::vector<T> list;
    for (const Json &object : body.value(field, Json::array())) {
        list.push_back(read(object));
    }
    return list;
}

GatewayReply transact(StoreState &state, const Json &body)
{
    const TransactionResult result = state.transact(
        listOf(body, "compare", &EtcdJson::compare), listOf(body, "success", &EtcdJson::operation), listOf(body, "failure", &EtcdJson::operation));
    return result.error.empty() ? GatewayReply{200, EtcdJson::transactionResponse(result, state.revision())} : refused(result.error);
}

GatewayReply grantLease(StoreState &state, const Json &body)
{
    const std::int64_t seconds = EtcdJson::number(body, "TTL");
    const auto id = state.grantLease(EtcdJson::number(body, "ID"), seconds);
    if (!id) {
        return failed(BadRequestStatus, InvalidArgument, "etcdserver: lease already exists");
    }
    return {200, Json{{"header", EtcdJson::header(state.revision())}, {"ID", std::to_string(*id)}, {"TTL", std::to_string(seconds)}}};
}

GatewayReply keepLeaseAlive(StoreState &state, const Json &body)
{
    const std::int64_t id = EtcdJson::number(body, "ID");
    Json result{{"header", EtcdJson::header(state.revision())}, {"ID", std::to_string(id)}};
    if (const std::int64_t seconds = state.keepLeaseAlive(id)) {
        result["TTL"] = std::to_string(seconds);
    }
    return {200, Json{{"result", std::move(result)}}};
}

GatewayReply revokeLease(StoreState &state, const Json &body)
{
    if (!state.revokeLease(EtcdJson::number(body, "ID"))) {
        return refused(LeaseNotFound);
    }
    return {200, Json{{"header", EtcdJson::header(state.revision())}}};
}

struct Route
{
    const char *path;
    std::uint64_t FakeStoreCounters::*counter;
    GatewayReply (*serve)(StoreState &, const Json &);
};

const Route Routes[] = {
    {"/v3/kv/range", &FakeStoreCounters::reads, &range},
    {"/v3/kv/put", &FakeStoreCounters::writes, &put},
    {"/v3/kv/txn", &FakeStoreCounters::writes, &transact},
    {"/v3/lease/grant", &FakeStoreCounters::writes, &grantLease},
    {"/v3/lease/keepalive", &FakeStoreCounters::writes, &keepLeaseAlive},
    {"/v3/lease/revoke", &FakeStoreCounters::writes, &revokeLease},
};

std::string watchLine(std::int64_t revision, Json fields)
{
    fields["header"] = EtcdJson::header(revision);
    return Json{{"result", std::move(fields)}}.dump() + "\n";
}

} // namespace

FakeStore::FakeStore(Runtime &runtime)
    : state_(runtime)
    , listener_(state_.addListener([this](std::int64_t revision, const std::vector<StoredEvent> &events) { publish(revision, events); }))
{
}

FakeStore::~FakeStore()
{
    state_.removeListener(listener_);
}

void FakeStore::handle(const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder)
{
    const auto *const route = std::find_if(std::begin(Routes), std::end(Routes), [&](const Route &r) { return request.path == r.path; });
    GatewayReply reply = failed(NotFoundStatus, NotFoundCode, "Not Found");
    try {
        if (request.path == "/v3/watch") {
            return watch(request, responder);
        }
        if (route != std::end(Routes)) {
            ++(counters_.*(route->counter));
            reply = route->serve(state_, Json::parse(request.body));
        }
    } catch (const std::exception &error) {
        reply = failed(BadRequestStatus, InvalidArgument, error.what());
    }
    counters_.refused += reply.status == 200 ? 0 : 1;
    responder->respond(HttpServerResponse{reply.status, {{"Content-Type", "application/json"}}, reply.body.dump()});
}

void FakeStore::watch(const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder)
{
    const Json body = Json::parse(request.body).at("create_request");
    const KeySpan span = EtcdJson::span(body);
    const std::int64_t asked = EtcdJson::number(body, "start_revision");
    const std::int64_t first = asked > 0 ? asked : state_.revision() + 1;
    ++counters_.watches;
    responder->sendChunk(watchLine(state_.revision(), Json{{"created", true}}));
    const auto missed = state_.history(span, first);
    if (!missed) {
        responder->sendChunk(watchLine(state_.revision(), Json{{"canceled", true}, {"compact_revision", std::to_string(state_.oldestRevision())}}));
        return responder->finish();
    }
    if (!missed->empty()) {
        responder->sendChunk(watchLine(state_.revision(), Json{{"events", EtcdJson::events(*missed)}}));
    }
    const std::uint64_t id = ++lastWatch_;
    watches_[id] = Watch{span, responder};
    responder->setDisconnectHandler([this, id] { watches_.erase(id); });
}

void FakeStore::publish(std::int64_t revision, const std::vector<StoredEvent> &events)
{
    const auto watches = watches_;
    for (const auto &watch : watches) {
        std::vector<StoredEvent> wanted;
        std::copy_if(
            events.begin(), events.end(), std::back_inserter(wanted), [&](const StoredEvent &event) { return watch.second.span.contains(event.entry.key); });
        if (!wanted.empty()) {
            watch.second.responder->sendChunk(watchLine(revision, Json{{"events", EtcdJson::events(wanted)}}));
        }
    }
}

void FakeStore::breakWatches()
{
    const auto watches = std::move(watches_);
    watches_.clear();
    for (const auto &watch : watches) {
        watch.second.responder->finish();
    }
}

} // namespace Burdock
