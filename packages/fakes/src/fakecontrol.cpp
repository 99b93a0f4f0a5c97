#include <burdock/fakes/fakefleet.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

/// The servers that `ids` names; all where it is absent or `*`.
std::vector<FakeServer *> selected(FakeFleet &fleet, const Json &body)
{
    std::vector<FakeServer *> servers;
    const Json ids = body.value("ids", Json("*"));
    if (ids == "*") {
        for (auto &server : fleet.servers()) {
            servers.push_back(&server.second);
        }
        return servers;
    }
    for (const Json &id : ids) {
        servers.push_back(&fleet.servers().at(ServerId(id.get<std::string>())));
    }
    return servers;
}

template<class T>
T orThrow(Result<T> result)
{
    if (!result) {
        throw std::invalid_argument(result.error().message);
    }
    return *std::move(result);
}

void changeTransport(FakePort &port, const Json &body)
{
    const TransportFaults before = body.value("reset", false) ? TransportFaults{} : port.gate.faults();
    port.gate.setFaults(orThrow(changeFaults(before, body.value("transport", Json::object()))));
}

void changeConduct(FakeBackend &backend, const Json &body)
{
    const ConductFaults before = body.value("reset", false) ? ConductFaults{} : backend.conduct();
    backend.setConduct(orThrow(changeFaults(before, body.value("conduct", Json::object()))));
}

Json setFaults(FakeFleet &fleet, const Json &body)
{
    const std::string target = body.at("target").get<std::string>();
    if (target == "store") {
        changeTransport(fleet.storePort(), body);
    } else if (target == "instanceList") {
        changeTransport(fleet.listPort(), body);
        if (body.contains("lagMs")) {
            fleet.instanceList().setLag(std::chrono::milliseconds(body["lagMs"].get<std::int64_t>()));
        }
    } else if (target == "server") {
        for (FakeServer *const server : selected(fleet, body)) {
            changeConduct(*server->backend, body);
            changeTransport(*server->port, body);
        }
    } else {
        throw std::invalid_argument("unknown target " + target);
    }
    return Json::object();
}

Json setVersions(FakeFleet &fleet, const Json &body)
{
    const IndexName index(body.at("index").get<std::string>());
    const VersionWindow window{body.at("oldest").get<std::uint64_t>(), body.at("newest").get<std::uint64_t>()};
    for (FakeServer *const server : selected(fleet, body)) {
        server->backend->setVersions(index, window);
    }
    return Json::object();
}

/// `{"servers":[{"id","shards":[...]}],"keep":true}`; with `keep` the shards held before stay too.
Json setShards(FakeFleet &fleet, const Json &body)
{
    for (const Json &assignment : body.at("servers")) {
        FakeBackend &backend = *fleet.servers().at(ServerId(assignment.at("id").get<std::string>())).backend;
        std::vector<FakeShard> shards = body.value("keep", false) ? backend.declaration().shards : std::vector<FakeShard>{};
        for (FakeShard &shard : fakeShardsOf(assignment.at("shards"))) {
            shards.push_back(std::move(shard));
        }
        backend.setShards(std::move(shards));
    }
    return Json::object();
}

Json setInstance(FakeFleet &fleet, const Json &body)
{
    if (body.value("remove", false)) {
        fleet.instanceList().remove(InstanceId(body.at("id").get<std::string>()));
    } else {
        fleet.instanceList().set(listedInstanceOf(body));
    }
    return Json{{"version", fleet.instanceList().shown().version}};
}

/// `{"ids":[...],"listed":true,"leaving":false}`: what the instance list says of servers.
Json setListing(FakeFleet &fleet, const Json &body)
{
    for (FakeServer *const server : selected(fleet, body)) {
        ListedServer listed = server->backend->declaration().listed;
        listed.address = server->port->server.address();
        listed.leaving = body.value("leaving", false);
        if (body.value("listed", true)) {
            fleet.instanceList().set(listed);
        } else {
            fleet.instanceList().remove(listed.id);
        }
    }
    return Json::object();
}

Json breakWatches(FakeFleet &fleet, const Json &)
{
    fleet.store().breakWatches();
    return Json::object();
}

Json compact(FakeFleet &fleet, const Json &)
{
    fleet.store().state().compact();
    return Json::object();
}

/// How often each command key and, for one server or all, each request id was worked on.
Json ran(FakeFleet &fleet, const Json &body)
{
    std::map<std::string, std::uint32_t> commands;
    std::map<std::string, std::uint32_t> requests;
    for (const FakeServer *const server : selected(fleet, body)) {
        for (const auto &command : server->backend->ranCommands()) {
            commands[command.first] += command.second;
        }
        for (const auto &request : server->backend->ranRequests()) {
            requests[request.first] += request.second;
        }
    }
    return Json{{"commands", commands}, {"requests", requests}};
}

Json serverStatus(const FakeServer &server)
{
    const FakeBackendCounters &counters = server.backend->counters();
    return Json{{"busy", server.backend->busy()},
                {"waiting", server.backend->waiting()},
                {"searches", counters.searches},
                {"commands", counters.commands},
                {"shed", counters.shed},
                {"refused", counters.refused},
                {"cancelled", counters.cancelled},
                {"expired", counters.expired},
                {"mostBusy", counters.mostBusy},
                {"arrivedWhileDraining", counters.arrivedWhileDraining},
                {"lastArrivalWhileDrainingMs", static_cast<double>(counters.lastArrivalWhileDraining.count()) / 1000.0},
                {"connections", server.port->server.openConnections()},
                {"mostConnections", server.port->server.mostConnections()},
                {"refusedConnections", server.port->server.refusedConnections()},
                {"address", server.port->server.address().toString()}};
}

Json serverList(FakeFleet &fleet, const Json &)
{
    Json list = Json::object();
    for (const auto &server : fleet.servers()) {
        list[server.first.text()] = serverStatus(server.second);
    }
    return list;
}

Json storeStatus(FakeFleet &fleet, const Json &)
{
    const FakeStoreCounters &counters = fleet.store().counters();
    return Json{{"reads", counters.reads},
                {"writes", counters.writes},
                {"watches", counters.watches},
                {"refused", counters.refused},
                {"revision", fleet.store().state().revision()}};
}

Json instances(FakeFleet &fleet, const Json &)
{
    Json list = Json::array();
    for (const ListedInstance &instance : fleet.instanceList().shown().instances) {
        list.push_back(listedInstanceJson(instance));
    }
    return Json{{"version", fleet.instanceList().shown().version}, {"instances", std::move(list)}};
}

/// `{"index","version","query","limit"}`, also as URL parameters: the exact answer.
Json oracle(FakeFleet &fleet, const Json &body)
{
    const FakeIndex &index = fleet.indexes().at(IndexName(body.at("index").get<std::string>()));
    const auto version = body.at("version").get<std::uint64_t>();
    const std::string query = body.at("query").get<std::string>();
    Json hits = Json::array();
    for (const Hit &hit : index.oracle(version, query, body.at("limit").get<std::uint32_t>())) {
        hits.push_back(Json{{"id", hit.id}, {"score", hit.score}, {"body", hit.body}});
    }
    return Json{{"hits", std::move(hits)}, {"total", index.total(KeyRange{0, KeySpace}, version, query)}};
}

struct Route
{
    const char *path;
    bool reads;
    Json (*serve)(FakeFleet &, const Json &);
};

const Route Routes[] = {
    {"/fake/instances", true, &instances},
    {"/fake/instances", false, &setInstance},
    {"/fake/listing", false, &setListing},
    {"/fake/faults", false, &setFaults},
    {"/fake/versions", false, &setVersions},
    {"/fake/shards", false, &setShards},
    {"/fake/store/break-watches", false, &breakWatches},
    {"/fake/store/compact", false, &compact},
    {"/fake/store", true, &storeStatus},
    {"/fake/servers", true, &serverList},
    {"/fake/ran", true, &ran},
    {"/fake/ran", false, &ran},
    {"/fake/oracle", false, &oracle},
};

} // namespace

void handleControl(FakeFleet &fleet, const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder)
{
    const bool reads = request.method == "GET";
    const auto *const route = std::find_if(std::begin(Routes), std::end(Routes), [&](const Route &r) { return request.path == r.path && r.reads == reads; });
    if (route == std::end(Routes)) {
        return responder->respond(HttpServerResponse{404, {}, R"({"error":"no such control call"})"});
    }
    HttpServerResponse answer{200, {{"Content-Type", "application/json"}}, {}};
    try {
        answer.body = route->serve(fleet, request.body.empty() ? Json::object() : Json::parse(request.body)).dump();
    } catch (const std::exception &error) {
        answer.status = 400;
        answer.body = Json{{"error", error.what()}}.dump();
    }
    responder->respond(std::move(answer));
}

} // namespace Burdock
