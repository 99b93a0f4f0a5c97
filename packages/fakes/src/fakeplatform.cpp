#include <burdock/fakes/fakeplatform.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace Burdock
{

namespace
{

const std::string ServersPrefix = "servers/";
const std::string ConfigKey = "op/config";
constexpr std::uint32_t ServerConnections = 200;
constexpr Duration RestartTime = std::chrono::milliseconds(1500);

/// Creates a port. FakePort itself closes connections and the listening socket in an outage; a hang needs no further handling.
std::unique_ptr<FakePort> makePort(Runtime &runtime, event_base *base, FakeHandler handler)
{
    return std::make_unique<FakePort>(runtime, base, std::move(handler));
}

} // namespace

FakePlatform::FakePlatform(Runtime &runtime, event_base *base)
    : runtime_(runtime)
    , started_(runtime.now())
    , base_(base)
    , store_(runtime)
    , storePort_(makePort(runtime, base, [this](const HttpServerRequest &request, const auto &responder) { store_.handle(request, responder); }))
    , controlPort_(
          makePort(runtime, base, [this](const HttpServerRequest &request, const auto &responder) { handlePlatformControl(*this, request, responder); }))
{
    constexpr std::uint32_t StoreConnections = 2000;
    storePort_->server.setConnectionLimit(StoreConnections);
    controlPort_->server.setConnectionLimit(ServerConnections);
}

FakePlatform::~FakePlatform()
{
    runtime_.cancel(rewriteTimer_);
    for (const auto &[id, server] : servers_) {
        runtime_.cancel(server.restart);
    }
}

Result<FakePlatform::Addresses> FakePlatform::listen(const Addresses &wanted)
{
    const auto store = storePort_->server.listen(wanted.store);
    const auto control = controlPort_->server.listen(wanted.control);
    if (!store || !control) {
        return tl::make_unexpected((store ? control : store).error());
    }
    return Addresses{*store, *control};
}

Result<Address> FakePlatform::addServer(const FakeRoutedServerDeclaration &declaration, const std::string &zone)
{
    FakeRoutedPort &added = servers_[declaration.id];
    added.zone = zone;
    added.born = std::chrono::duration_cast<std::chrono::milliseconds>(runtime_.wallNow().time_since_epoch()).count();
    added.server = std::make_unique<FakeRoutedServer>(runtime_, declaration, ++seed_);
    added.port = makePort(runtime_, base_, [&added](const HttpServerRequest &request, const auto &responder) { added.server->handle(request, responder); });
    added.port->server.setConnectionLimit(ServerConnections);
    added.server->setCrashHandler([this, id = declaration.id] { crash(id); });
    added.port->server.setLinkCuts(linkCuts_);
    auto address = added.port->server.listen(Address{"127.0.0.1", 0});
    if (!address) {
        return address;
    }
    writeEntry(declaration.id);
    return address;
}

void FakePlatform::crash(const std::string &id)
{
    FakeRoutedPort &crashed = servers_.at(id);
    crashed.port->server.refuseConnections();
    runtime_.cancel(crashed.restart);
    crashed.restart = runtime_.schedule(RestartTime, [this, id] {
        FakeRoutedPort &restarted = servers_.at(id);
        restarted.restart = 0;
        restarted.born = std::chrono::duration_cast<std::chrono::milliseconds>(runtime_.wallNow().time_since_epoch()).count();
        restarted.sequence = 0;
        if (restarted.port->gate.faults().outage != Outage::Refuse) {
            restarted.port->server.acceptConnections();
        }
        if (restarted.state != "removed") {
            writeEntry(id);
        }
    });
}

void FakePlatform::advertise(const std::string &id, const std::string &address)
{
    servers_.at(id).advertised = address;
    writeEntry(id);
}

std::map<std::string, FakePlatform::ServiceSeconds> FakePlatform::arrivalsBySecond() const
{
    struct Arrival
    {
        TimePoint at;
        const std::string *attempt;
    };
    std::map<std::string, std::vector<Arrival>> services;
    for (const auto &[id, server] : servers_) {
        for (const FakeRoutedServer::Arrival &arrival : server.server->arrivals()) {
            services[server.server->declaration().service].push_back({arrival.at, &arrival.attempt});
        }
    }
    std::map<std::string, ServiceSeconds> counts;
    for (auto &[service, arrivals] : services) {
        std::sort(arrivals.begin(), arrivals.end(), [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
        std::set<std::string> seen;
        ServiceSeconds &seconds = counts[service];
        for (const Arrival &arrival : arrivals) {
            const auto second = static_cast<std::size_t>((arrival.at - started_) / std::chrono::seconds(1));
            seconds.first.resize(std::max(seconds.first.size(), second + 1));
            seconds.repeats.resize(seconds.first.size());
            ++(seen.insert(*arrival.attempt).second ? seconds.first : seconds.repeats)[second];
        }
    }
    return counts;
}

void FakePlatform::writeEntry(const std::string &id)
{
    FakeRoutedPort &server = servers_.at(id);
    const nlohmann::json entry{{"service", server.server->declaration().service},
                               {"address", server.advertised.empty() ? server.port->server.address().toString() : server.advertised},
                               {"zone", server.zone},
                               {"version", "v1"},
                               {"slots", server.server->declaration().slots},
                               {"state", server.state},
                               {"coldRemainingMs", 0},
                               {"sequence", ++server.sequence},
                               {"born", server.born}};
    store_.put(ServersPrefix + id, entry.dump());
}

void FakePlatform::setState(const std::string &id, const std::string &state)
{
    FakeRoutedPort &server = servers_.at(id);
    if (server.state == "ready") {
        server.arrivedBeforeLeaving = server.server->arrived();
        server.leavingSince = runtime_.now();
    }
    server.state = state;
    if (state == "removed") {
        store_.remove(ServersPrefix + id);
    } else {
        writeEntry(id);
    }
}

void FakePlatform::cutLinks(const std::vector<std::string> &clients, LinkCut cut)
{
    for (const std::string &client : clients) {
        if (cut == LinkCut::None) {
            linkCuts_.erase(client);
        } else {
            linkCuts_[client] = cut;
        }
    }
    for (const auto &[id, server] : servers_) {
        server.port->server.setLinkCuts(linkCuts_);
    }
}

void FakePlatform::setConfig(const std::string &value)
{
    config_ = value;
    store_.put(ConfigKey, config_);
}

void FakePlatform::copyStore()
{
    copy_ = store_.state().copy();
}

void FakePlatform::restoreStore(Duration delay)
{
    if (!copy_) {
        return;
    }
    store_.restore(*copy_);
    runtime_.cancel(rewriteTimer_);
    rewriteTimer_ = runtime_.schedule(delay, [this] {
        rewriteTimer_ = 0;
        writeAgain();
    });
}

void FakePlatform::writeAgain()
{
    if (!config_.empty()) {
        store_.put(ConfigKey, config_);
    }
    for (const auto &[id, server] : servers_) {
        if (server.state == "removed") {
            store_.remove(ServersPrefix + id);
        } else {
            writeEntry(id);
        }
    }
}

} // namespace Burdock
