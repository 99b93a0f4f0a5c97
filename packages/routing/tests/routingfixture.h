#pragma once

#include <burdock/routing/requestcoordinator.h>
#include <burdock/values/manualruntime.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace Burdock
{

/// Fake servers whose requests the test answers explicitly.
class ManualBackends final : public BackendRequests
{
public:
    struct Sent
    {
        BackendRequestId id = 0;
        ServerHandle server;
        std::shared_ptr<const ClientRequest> request;
        TimePoint deadline;
        Callback done;
    };

    BackendRequestId send(const ServerHandle &server, const std::shared_ptr<const ClientRequest> &request, TimePoint deadline, Callback done) override
    {
        if (throws) {
            throw std::runtime_error("thrown by a test");
        }
        ++all;
        open.push_back({++last_, server, request, deadline, std::move(done)});
        return last_;
    }

    void cancel(BackendRequestId id) override
    {
        const auto named = [id](const Sent &sent) { return sent.id == id; };
        const auto found = std::find_if(open.begin(), open.end(), named);
        if (found != open.end()) {
            cancelled.push_back(found->server->id.text());
            open.erase(found);
        }
    }

    bool hasRoom(std::size_t requests) const override
    {
        return open.size() + requests <= room;
    }

    /// Answers the oldest request in flight, or the oldest one at the given server.
    void answer(Result<ServerReply> reply, const std::string &server = {})
    {
        const auto at = std::find_if(open.begin(), open.end(), [&](const Sent &sent) { return server.empty() || sent.server->id.text() == server; });
        const Sent sent = *at;
        open.erase(at);
        sent.done(std::move(reply));
    }

    bool isOpenAt(const std::string &server) const
    {
        return std::any_of(open.begin(), open.end(), [&](const Sent &sent) { return sent.server->id.text() == server; });
    }

    std::vector<Sent> open;
    std::vector<std::string> cancelled;
    std::size_t all = 0;
    /// Whether sending throws.
    bool throws = false;
    /// How many requests there may be in flight.
    std::size_t room = std::numeric_limits<std::size_t>::max();

private:
    BackendRequestId last_ = 0;
};

/// Other instances whose answers the test gives explicitly.
class ManualPeers final : public PeerRequests
{
public:
    struct Sent
    {
        PeerRequestId id = 0;
        Peer peer;
        std::shared_ptr<const ClientRequest> request;
        PassOnTerms terms;
        TimePoint deadline;
        Callback done;
    };

    PeerRequestId
    send(const Peer &peer, const std::shared_ptr<const ClientRequest> &request, const PassOnTerms &terms, TimePoint deadline, Callback done) override
    {
        ++all;
        open.push_back({++last_, peer, request, terms, deadline, std::move(done)});
        return last_;
    }

    void cancel(PeerRequestId id) override
    {
        const auto found = std::find_if(open.begin(), open.end(), [id](const Sent &sent) { return sent.id == id; });
        if (found != open.end()) {
            cancelled.push_back(found->peer.id.text());
            open.erase(found);
        }
    }

    void fetchConfig(const Peer &peer) override
    {
        fetchedFrom.push_back(peer.id.text());
    }

    /// Answers the oldest request in flight.
    void answer(Result<PeerReply> reply)
    {
        const Sent sent = open.front();
        open.erase(open.begin());
        sent.done(std::move(reply));
    }

    std::vector<Sent> open;
    std::vector<std::string> cancelled;
    std::vector<std::string> fetchedFrom;
    std::size_t all = 0;

private:
    PeerRequestId last_ = 0;
};

/// Creates a success with a body; the default signature is derived from the body.
inline ServerReply success(const std::string &body, const std::string &signature = {})
{
    return {200, signature.empty() ? "sig-" + body : signature, {}, body};
}

inline Result<ServerReply> refusedByServer()
{
    return notRun(Errc::Overloaded, "the server did not run it");
}

inline Result<ServerReply> notConnected()
{
    return notRun(Errc::Unavailable, "nothing was sent: the connection failed");
}

inline Result<ServerReply> lostAtServer()
{
    return mayHaveRun(Errc::ConnectionLost, "the connection closed");
}

class RecordingJournal final : public RoutingJournal
{
public:
    void note(const RoutingEvent &event) override
    {
        decisions.emplace_back(event.decision);
    }

    void notePassedOn(const PassOnEvent &event) override
    {
        passedOn.push_back(event.peer.text() + ' ' + std::string(event.outcome));
    }

    std::vector<std::string> decisions;
    std::vector<std::string> passedOn;
};

/// A request coordinator with fake servers and a manual clock.
struct RoutingFixture
{
    static constexpr const char *Near = "near";
    static constexpr const char *Far = "far";

    RoutingFixture()
    {
        choice.setServices({{ServiceName("parts"), 100}, {ServiceName("a"), 100}, {ServiceName("b"), 100}, {ServiceName("c"), 100}, {ServiceName("d"), 100}});
    }

    /// Adds a server; `zone` is Near or Far.
    void addServer(const std::string &id, const std::string &service, const std::string &zone = Near)
    {
        servers.put({ServerId(id), ServiceName(service), Address{"10.0.0.1", ++port}, DataCentre(zone), false, 4, Duration{0}, 1});
    }

    /// Adds an instance that can help this one.
    void addHelper(const std::string &id, std::size_t group = 0, const std::string &region = "home", bool keepsRegions = true)
    {
        InstanceRecord record;
        record.id = InstanceId(id);
        record.region = Region(region);
        record.keepsRegions = keepsRegions;
        record.peers = Address{"10.0.1.1", ++port};
        helpers.resize(std::max(helpers.size(), group + 1));
        helpers[group].push_back(record);
        peerChoice.onHelpersChanged(runtime.now());
    }

    void removeHelpers()
    {
        helpers.clear();
        peerChoice.onHelpersChanged(runtime.now());
    }

    static Route route(const std::string &service)
    {
        Route made;
        made.name = "r-" + service;
        made.host = "shop.example";
        made.prefix = "/" + service + "/";
        made.repeatable = true;
        made.timeout = std::chrono::seconds(2);
        made.target = std::chrono::milliseconds(200);
        made.attempts = 2;
        made.services = {{ServiceName(service), 1}};
        return made;
    }

    /// Creates a route over shards, each with one near server that is named after its shard.
    Route shardRoute(const std::vector<std::string> &names, double minShare)
    {
        Route made = route("all");
        made.services.clear();
        made.minShare = minShare;
        made.resultLimit = 2;
        for (const std::string &name : names) {
            addServer(name + "1", name);
            made.shards.emplace_back(name);
        }
        return made;
    }

    void setRoutes(std::vector<Route> routes)
    {
        RoutingConfig config;
        config.version = ++version;
        config.routes = std::move(routes);
        coordinator.setRoutes(std::make_shared<const RouteTable>(std::make_shared<const RoutingConfig>(std::move(config))));
    }

    ServedRequestId sendRequest(const std::string &service,
                                std::optional<Duration> clientTimeout = std::nullopt,
                                const std::string &item = "x",
                                std::optional<PassOnTerms> passedOn = std::nullopt)
    {
        ClientRequest request;
        request.id = "attempt";
        request.method = "GET";
        request.target = "/" + service + "/" + item;
        request.headers["host"] = "shop.example";
        request.arrived = runtime.now();
        request.clientTimeout = clientTimeout;
        request.passedOn = std::move(passedOn);
        answer.reset();
        return coordinator.serve(std::move(request), [this](const Route *, ClientAnswer given) {
            CHECK_FALSE(answer);
            answer = std::move(given);
        });
    }

    ManualRuntime runtime;
    ManualBackends backends;
    std::vector<std::string> gone;
    ServerTable servers{[this](const ServerEntry &server, bool usable) {
        if (usable) {
            choice.onListed(server, runtime.now());
        } else {
            choice.onRemoved(server.id, runtime.now());
        }
    }};
    LatencyTracker latencies;
    ServerLoad load;
    std::vector<LimitReport> limitReports;
    ServerLimits limits{InstanceId("self"), [this](const LimitReport &report) { limitReports.push_back(report); }};
    ColdServers cold{InstanceId("self"), LimitTerms::within(0.5, 5), [](const LimitReport &) {}};
    ServerNotices notices;
    EmptiedDataCentres emptied;
    ServerChoice choice{
        servers, latencies, load, limits, cold, notices, emptied, {{DataCentre(Near), Region("home")}, {DataCentre(Far), Region("away")}}, Region("home"), 7};
    RepeatBudget budget{RepeatTerms{0.2, std::chrono::seconds(10), 50}, TimePoint{} - std::chrono::minutes(1)};
    RoutingCounters counters;
    RecordingJournal journal;
    CrashGuard crashes;
    std::vector<ReachChange> reachChanges;
    ServerReach reach{runtime, servers, [this](const ReachChange &change) {
                          reachChanges.push_back(change);
                          disregardCut(context, change);
                          coordinator.onReachChanged();
                      }};
    ManualPeers peers;
    /// The instances that can help this one, in groups.
    std::vector<std::vector<InstanceRecord>> helpers;
    /// Whether other instances are ready, be they able to help or not.
    bool othersReady = false;
    /// Whether instances that can no longer help still have a record, as those that are cut off.
    bool helpersKeepRecords = false;
    PeerChoice peerChoice{[this] {
                              std::vector<InstanceTable::Records> groups;
                              for (const auto &group : helpers) {
                                  groups.emplace_back();
                                  for (const InstanceRecord &helper : group) {
                                      groups.back().push_back(&helper);
                                  }
                              }
                              return groups;
                          },
                          [this] { return othersReady; },
                          [this](const InstanceId &) { return helpersKeepRecords; },
                          InstanceId("self"),
                          7};
    RoutingContext context{runtime, backends, servers, choice, load, budget, crashes, reach, counters, journal, peers, peerChoice};
    UnlimitedRates rates;
    RequestCoordinator coordinator{context, rates, 7};
    std::optional<ClientAnswer> answer;
    std::int64_t version = 0;
    std::uint16_t port = 8000;
};

} // namespace Burdock
