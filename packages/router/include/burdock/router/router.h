#pragma once

#include <burdock/router/clientendpoint.h>
#include <burdock/router/configinquiry.h>
#include <burdock/router/crashreportwriter.h>
#include <burdock/router/decisionlog.h>
#include <burdock/router/dialect.h>
#include <burdock/router/httpbackends.h>
#include <burdock/router/httppeers.h>
#include <burdock/router/rateservice.h>
#include <burdock/router/relayedstore.h>
#include <burdock/router/routermetrics.h>
#include <burdock/router/routersettings.h>
#include <burdock/router/routingfeed.h>
#include <burdock/routing/instancelease.h>
#include <burdock/routing/instancerole.h>
#include <burdock/routing/loopdelay.h>
#include <burdock/routing/reachtrials.h>
#include <burdock/values/periodictimer.h>
#include <burdock/wire/connectionpool.h>
#include <burdock/wire/eventloop.h>

#include <memory>
#include <optional>

namespace Burdock
{

/// A routing instance: serves clients' requests, the readiness check, and the directory of the instances that clients should use.
class Router
{
public:
    Router(EventLoop &loop, const RouterSettings &settings, const Dialect &dialect, Store &store, HttpClient &client, DecisionLog &log, std::uint64_t seed);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// Starts listening and following the store; an error contains the address that cannot be used.
    Result<void> start();

    /// Adds a value to the metrics and to the periodically logged state. `kind` is `counter` or `gauge`.
    void addMetric(std::string name, std::string kind, std::string help, std::function<double()> read);

    /// Applies changed settings. The listening addresses stay those of the start.
    void reload(const RouterSettings &settings);

    /// Starts a graceful shutdown: clients are directed elsewhere at once. `done` is called when no request or connection is left, or
    /// shortly before the stop time is over.
    void shutDown(std::function<void()> done);

private:
    class Journal;

    Result<void> listen(HttpServer &server, const char *what, const Address &address);
    void serveReadiness(const HttpServerRequest &incoming, const std::shared_ptr<HttpResponder> &responder);
    void serveDirectory(const HttpServerRequest &incoming, const std::shared_ptr<HttpResponder> &responder);
    void servePeers(HttpServerRequest incoming, const std::shared_ptr<HttpResponder> &responder);
    void onRoutesChanged(const std::shared_ptr<const RouteTable> &routes);
    void onInstancesChanged();
    void onHistoryLost(std::int64_t history);
    /// Hands crash reports to the instances that clients use.
    void pushCrashReports(const std::vector<CrashReport> &reports);
    void takePushedReports(const HttpServerRequest &incoming, HttpResponder &responder);
    void onCrashReports(const InstanceId &from, const std::vector<CrashReport> &reports);
    /// Asks some of the others for the configuration that they have in force, once in a life.
    void askPeersForConfig();
    void servePeerConfig(const std::shared_ptr<HttpResponder> &responder) const;
    void onServerChanged(const ServerEntry &server, bool usable);
    void onReachChanged(const ReachChange &change);
    /// Asks a server for a response at the path.
    void askServer(const ServerHandle &server, const std::string &path, Duration timeout, std::function<void(ReachOutcome)> done);
    /// Closes the kept connections to servers, which may hang, and ends the requests of which nothing was sent.
    void leaveServerConnections();
    void onServerHints(const ServerEntry &server, const ServerHints &hints);
    void logLimit(const LimitReport &report);
    void updateConnectionFraction();
    void updateConnectionLimits();
    void tick();
    /// Logs when this instance starts or stops serving its data to other instances.
    void logRelayFreshness();
    void logState();
    bool isReady() const;
    void updateReadiness();
    /// Writes the record for the first time.
    void publishRecord();
    /// Sets the lease and the record by what the other instances need this one for.
    void updateRole();
    void closeListeners();
    /// Stops if nothing is left to do, or the time to stop is over.
    void checkStop();
    /// Whether a request of a client or of another instance has no complete answer yet.
    bool hasWork() const;
    void registerMetrics();

    EventLoop &loop_;
    RouterSettings settings_;
    const Dialect &dialect_;
    HttpClient &client_;
    DecisionLog &log_;
    InstanceRecord self_;
    RouterMetrics metrics_;
    std::unique_ptr<Journal> journal_;
    RoutingCounters counters_;
    ServerTable servers_;
    InstanceTable instances_;
    LatencyTracker latencies_;
    ServerLoad load_;
    ServerLimits limits_;
    ServerNotices notices_;
    EmptiedDataCentres emptied_;
    ConnectionShares connectionShares_;
    ServerChoice choice_;
    RepeatBudget budget_;
    CrashGuard crashes_;
    ServerReach reach_;
    ReachTrials trials_;
    std::uint64_t cutOffs_ = 0;
    HttpBackends backends_;
    HttpPeers peerRequests_;
    PeerChoice peerChoice_;
    RateService rates_;
    RoutingContext context_;
    RelayChoice relays_;
    RelayedStore store_;
    InstanceLease lease_;
    RelayService relay_;
    CrashReportWriter crashReports_;
    RoutingFeed feed_;
    ConfigInquiry inquiry_;
    /// Destroyed before the members above, because requests that end with the process still report to them.
    RequestCoordinator coordinator_;
    ClientEndpoint clientEndpoint_;
    /// The connections of the servers below.
    std::shared_ptr<ConnectionPool> connections_;
    std::unique_ptr<HttpServer> clients_;
    std::unique_ptr<HttpServer> readiness_;
    std::unique_ptr<HttpServer> directory_;
    std::unique_ptr<HttpServer> peers_;
    std::map<ServerId, ServerEntry> usableServers_;
    LoopDelay loopDelay_;
    TimePoint tickDue_{};
    Duration suspended_{0};
    PeriodicTimer tickTimer_;
    PeriodicTimer stateTimer_;
    PeriodicTimer stopTimer_;
    TimerId publishTimer_ = 0;
    TimerId rewriteTimer_ = 0;
    bool recordPublished_ = false;
    bool relayFresh_ = false;
    InstanceRole role_ = InstanceRole::Standby;
    const TimePoint startedAt_;
    bool leaving_ = false;
    /// Set once the time to stop is over: until when the last responses are sent.
    std::optional<TimePoint> lastAnswersUntil_;
    bool wasBusy_ = true;
    TimePoint leavingSince_{};
    std::function<void()> onStopped_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Burdock
