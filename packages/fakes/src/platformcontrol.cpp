#include <burdock/fakes/fakeplatform.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

std::vector<FakeRoutedPort *> selected(FakePlatform &platform, const Json &body)
{
    std::vector<FakeRoutedPort *> found;
    if (!body.contains("ids")) {
        for (auto &[id, server] : platform.servers()) {
            found.push_back(&server);
        }
        return found;
    }
    for (const Json &id : body["ids"]) {
        found.push_back(&platform.servers().at(id.get<std::string>()));
    }
    return found;
}

TransportFaults changed(const TransportFaults &faults, const Json &change)
{
    const auto next = changeFaults(faults, change);
    if (!next) {
        throw std::invalid_argument(next.error().message);
    }
    return *next;
}

FakeRoutedServerBehaviour behaviourOf(const Json &body)
{
    FakeRoutedServerBehaviour behaviour;
    behaviour.paused = body.value("paused", false);
    behaviour.full = body.value("full", false);
    behaviour.failureRate = body.value("failing", 0.0);
    behaviour.slowFactor = body.value("slowFactor", 1.0);
    behaviour.replaced = body.value("replaced", false);
    behaviour.strayAnswers = body.value("strayAnswers", false);
    behaviour.reorderedAnswers = body.value("lateAnswers", false);
    if (body.contains("limit")) {
        behaviour.limit = body["limit"].get<double>();
    }
    behaviour.leaving = body.value("leaving", false);
    if (body.contains("pause")) {
        behaviour.pause = body["pause"].get<double>();
    }
    return behaviour;
}

/// `{"target":"store"}` or `{"target":"server","ids":[...]}` with `transport`, `behaviour` or both.
Json setFaults(FakePlatform &platform, const Json &body)
{
    if (body.at("target") == "store") {
        FaultGate &gate = platform.storePort().gate;
        gate.setFaults(changed(gate.faults(), body.at("transport")));
        return Json::object();
    }
    for (FakeRoutedPort *server : selected(platform, body)) {
        if (body.contains("transport")) {
            server->port->gate.setFaults(changed(server->port->gate.faults(), body["transport"]));
        }
        if (body.contains("conduct")) {
            server->server->setBehaviour(behaviourOf(body["conduct"]));
        }
    }
    return Json::object();
}

/// `{"clients":["127.0.0.2"],"how":"hang"}`
Json cutLinks(FakePlatform &platform, const Json &body)
{
    static const std::map<std::string, LinkCut> cuts{{"none", LinkCut::None},
                                                     {"hang", LinkCut::Hang},
                                                     {"lose", LinkCut::Lose},
                                                     {"oneWay", LinkCut::OneWay},
                                                     {"reset", LinkCut::Reset},
                                                     {"refuseNew", LinkCut::RefuseNew}};
    platform.cutLinks(body.at("clients").get<std::vector<std::string>>(), cuts.at(body.at("how").get<std::string>()));
    return Json::object();
}

/// Writes the operator's configuration in its documented format.
Json setConfig(FakePlatform &platform, const Json &body)
{
    platform.setConfig(body.dump());
    return {{"revision", platform.store().state().revision()}};
}

/// Writes any entry, including ones that no server would write.
Json setEntry(FakePlatform &platform, const Json &body)
{
    platform.store().put(body.at("key").get<std::string>(), body.at("value").get<std::string>());
    return Json::object();
}

Json addServer(FakePlatform &platform, const Json &body)
{
    FakeRoutedServerDeclaration declaration;
    declaration.id = body.at("id").get<std::string>();
    declaration.service = body.at("service").get<std::string>();
    declaration.slots = body.value("slots", declaration.slots);
    declaration.queue = body.value("queue", declaration.queue);
    declaration.work = std::chrono::milliseconds(body.value("workMs", 5));
    declaration.records = body.value("records", std::size_t{0});
    const auto address = platform.addServer(declaration, body.value("zone", std::string("zone-a")));
    if (!address) {
        throw std::invalid_argument(address.error().message);
    }
    return {{"address", address->toString()}};
}

Json advertise(FakePlatform &platform, const Json &body)
{
    platform.advertise(body.at("id").get<std::string>(), body.at("address").get<std::string>());
    return Json::object();
}

Json arrivals(FakePlatform &platform, const Json &)
{
    Json all = Json::object();
    for (const auto &[service, seconds] : platform.arrivalsBySecond()) {
        all[service] = {{"first", seconds.first}, {"repeats", seconds.repeats}};
    }
    return all;
}

/// Returns the time from the start of leaving to the last request, in milliseconds; 0 if none arrived after it.
std::int64_t lastArrivalAfterLeaving(const FakeRoutedPort &server)
{
    const auto &arrivals = server.server->arrivals();
    if (server.state == "ready" || arrivals.empty() || arrivals.back().at < server.leavingSince) {
        return 0;
    }
    return (arrivals.back().at - server.leavingSince) / std::chrono::milliseconds(1);
}

Json setState(FakePlatform &platform, const Json &body)
{
    platform.setState(body.at("id").get<std::string>(), body.at("state").get<std::string>());
    return Json::object();
}

Json compact(FakePlatform &platform, const Json &)
{
    platform.store().state().compact();
    return Json::object();
}

Json copyStore(FakePlatform &platform, const Json &)
{
    platform.copyStore();
    return Json::object();
}

/// `{"rewriteMs":500}`: when the operator and the servers write again.
Json restoreStore(FakePlatform &platform, const Json &body)
{
    platform.restoreStore(std::chrono::milliseconds(body.value("rewriteMs", 500)));
    return Json::object();
}

Json storeStatus(FakePlatform &platform, const Json &)
{
    const FakeKeyValueCounters &counters = platform.store().counters();
    return {{"reads", counters.reads},
            {"writes", counters.writes},
            {"watches", counters.watches},
            {"renewals", counters.renewals},
            {"revision", platform.store().state().revision()}};
}

/// Returns the execution counts of all servers by attempt and service.
Json ran(FakePlatform &platform, const Json &)
{
    std::map<std::string, std::map<std::string, std::uint32_t>> attempts;
    for (const auto &[id, server] : platform.servers()) {
        for (const auto &[attempt, times] : server.server->executions()) {
            attempts[attempt][server.server->declaration().service] += times;
        }
    }
    return attempts;
}

/// Returns the workspaces that all servers were told by attempt.
Json workspaces(FakePlatform &platform, const Json &)
{
    std::map<std::string, std::set<std::string>> attempts;
    for (const auto &[id, server] : platform.servers()) {
        for (const auto &[attempt, names] : server.server->workspaces()) {
            attempts[attempt].insert(names.begin(), names.end());
        }
    }
    return attempts;
}

Json servers(FakePlatform &platform, const Json &)
{
    Json list = Json::object();
    for (const auto &[id, server] : platform.servers()) {
        list[id] = {{"service", server.server->declaration().service},
                    {"state", server.state},
                    {"arrived", server.server->arrived()},
                    {"running", server.server->running()},
                    {"arrivedSinceLeaving", server.state == "ready" ? 0 : server.server->arrived() - server.arrivedBeforeLeaving},
                    {"lastAfterLeavingMs", lastArrivalAfterLeaving(server)},
                    {"crashes", server.server->crashes()},
                    {"worstLimitExcess", server.server->worstLimitExcess()},
                    {"mostConnections", server.port->server.peakConnections()},
                    {"complaints", server.server->protocolErrors()}};
    }
    return list;
}

struct Route
{
    const char *path;
    bool reads;
    Json (*serve)(FakePlatform &, const Json &);
};

const Route Routes[] = {
    {"/fake/faults", false, &setFaults},
    {"/fake/cut", false, &cutLinks},
    {"/fake/config", false, &setConfig},
    {"/fake/entry", false, &setEntry},
    {"/fake/server", false, &addServer},
    {"/fake/advertise", false, &advertise},
    {"/fake/arrivals", true, &arrivals},
    {"/fake/state", false, &setState},
    {"/fake/store/compact", false, &compact},
    {"/fake/store/copy", false, &copyStore},
    {"/fake/store/restore", false, &restoreStore},
    {"/fake/store", true, &storeStatus},
    {"/fake/servers", true, &servers},
    {"/fake/ran", true, &ran},
    {"/fake/workspaces", true, &workspaces},
};

} // namespace

void handlePlatformControl(FakePlatform &platform, const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder)
{
    const bool reads = request.method == "GET";
    const auto *const route =
        std::find_if(std::begin(Routes), std::end(Routes), [&](const Route &each) { return request.path == each.path && each.reads == reads; });
    HttpServerResponse answer{404, {}, R"({"error":"no such control call"})", true};
    if (route != std::end(Routes)) {
        try {
            answer.body = route->serve(platform, request.body.empty() ? Json::object() : Json::parse(request.body)).dump();
            answer.status = 200;
        } catch (const std::exception &error) {
            answer.status = 400;
            answer.body = Json{{"error", error.what()}}.dump();
        }
    }
    responder->respond(std::move(answer));
}

} // namespace Burdock
