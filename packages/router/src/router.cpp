#include <burdock/router/router.h>

#include <burdock/router/costmetrics.h>
#include <burdock/router/crashreportcodec.h>
#include <burdock/router/instancecodec.h>
#include <burdock/router/limitlog.h>
#include <burdock/router/passonheaders.h>
#include <burdock/router/refusalmetrics.h>
#include <burdock/router/relaycodec.h>
#include <burdock/routing/dataage.h>
#include <burdock/wire/factories.h>
#include <burdock/wire/percentencoding.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Burdock
{

namespace
{

/// When the whole system starts, listings wait for this time and up to as much again, by the instance's id, until the records
/// are written. Roles are decided once the listings have spread.
constexpr Duration FirstListingDelay = std::chrono::milliseconds(900);
constexpr std::size_t FirstListingSteps = 10;
constexpr Duration FirstSettlingTime = std::chrono::seconds(4);
/// An instance that restarts writes its record once it is ready, or after this time.
constexpr Duration RecordDelay = std::chrono::milliseconds(400);
/// The steps in which standby instances write their records again after a restoration of the store.
constexpr std::size_t RewriteSteps = 10;
constexpr Duration RewriteStep = std::chrono::milliseconds(130);
constexpr const char *MetricsPath = "/metrics";
/// Where instances hand each other crash reports, and how long that may take.
constexpr const char *CrashReportsPath = "/crashes";
constexpr Duration PushTimeout = std::chrono::milliseconds(500);
/// Data that were never complete have an age without a meaning.
constexpr std::int64_t MaxLoggedAgeMs = 999999;
/// The interval of the checks for suspension and readiness.
constexpr Duration TickInterval = std::chrono::milliseconds(200);
/// The interval at which counters and gauges are logged, for operators who have only the logs.
constexpr Duration StateLogInterval = std::chrono::seconds(15);
/// An increase of the suspended time above this means that the machine was suspended.
constexpr Duration MinSuspension = std::chrono::milliseconds(300);
/// An instance that clients are not directed to gets its share of the repeat budget's slack divided by this.
constexpr std::size_t OutsiderBudgetDivisor = 5;
/// The maximum number of addresses in a directory response.
constexpr std::size_t MaxAddresses = 64;
/// After the stop signal, new connections are accepted for this many TTLs of a directory response: some clients cache it for three
/// times its TTL.
constexpr int TtlsBeforeClosing = 3;
/// The process exits this long before the stop time is over, so that its last responses are still sent.
constexpr Duration StopMargin = std::chrono::milliseconds(350);
/// How long the last responses may take to be sent. It counts from when the time was found to be over, which is later than it should be
/// if the process got no processor time.
constexpr Duration LastAnswersTime = std::chrono::milliseconds(150);
/// The interval at which an instance that shuts down checks whether it is idle.
constexpr Duration IdleCheckInterval = std::chrono::milliseconds(20);
/// The fraction of the file descriptors for clients' connections; the rest is for servers and the store.
constexpr double ClientDescriptorFraction = 0.6;
constexpr std::uint32_t MaxInternalConnections = 200;
/// The fraction of the file descriptors for other instances' connections, which poll, and pass on requests.
constexpr double PeerDescriptorFraction = 0.25;
/// So many descriptors are left for files and listeners, but no larger part of all than one in this divisor.
constexpr std::size_t FileDescriptors = 200;
constexpr std::size_t FileDescriptorDivisor = 5;
/// Connections to servers, to other instances and to the store are always allowed up to this number.
constexpr std::size_t MinServerConnections = 40;
/// The fraction of the file descriptors for connections from clients and other instances together.
constexpr double PooledDescriptorFraction = 0.75;
/// How many connections each listener but that of the clients may have whatever the others hold.
constexpr std::uint32_t ReservedConnections = 16;
/// The headers that instances add to the requests that they pass on.
constexpr std::size_t PassOnHeaderBytes = 4096;
/// The maximum size of a server's response. Several servers may send bytes without end at the same time, each on several connections,
/// and the smallest instances have 160 MB.
constexpr std::size_t MaxServerResponseBytes = std::size_t{4} << 20;
/// An instance that used this one as a relay and has gone back to its own leaves its connections behind.
constexpr Duration InternalIdleTime = std::chrono::seconds(10);

/// The number of sockets that the process may have open.
std::size_t socketsOf(const RouterSettings &settings)
{
    const auto descriptors = static_cast<std::size_t>(settings.descriptors);
    return descriptors - std::min(descriptors / FileDescriptorDivisor, FileDescriptors);
}

HttpServerLimits clientLimits(const ClientLimits &limits, std::uint32_t descriptors)
{
    HttpServerLimits out;
    out.headerBytes = limits.headerBytes;
    out.bodyBytes = limits.bodyBytes;
    out.connections = static_cast<std::uint32_t>(descriptors * ClientDescriptorFraction);
    out.requestTime = std::max(limits.headerTime, HttpServerLimits().requestTime);
    out.idleTime = limits.idleTime;
    return out;
}

HttpServerLimits internalLimits()
{
    HttpServerLimits out;
    out.connections = MaxInternalConnections;
    out.reserved = ReservedConnections;
    out.urgent = true;
    out.idleTime = InternalIdleTime;
    return out;
}

HttpServerLimits directoryLimits(std::uint32_t descriptors)
{
    HttpServerLimits out = clientLimits({}, descriptors);
    out.reserved = ReservedConnections;
    out.urgent = true;
    return out;
}

/// Requests that are passed on are limited as clients' requests are.
HttpServerLimits peerLimits(const ClientLimits &limits, std::uint32_t descriptors)
{
    HttpServerLimits out = internalLimits();
    out.headerBytes = limits.headerBytes + PassOnHeaderBytes;
    out.bodyBytes = std::max(limits.bodyBytes, out.bodyBytes);
    out.connections = std::max(MaxInternalConnections, static_cast<std::uint32_t>(descriptors * PeerDescriptorFraction));
    return out;
}

/// Instances that start together list the others at slightly different times.
Duration firstListingDelay(const RouterSettings &settings)
{
    if (!settings.firstStart) {
        return Duration{0};
    }
    const auto step = static_cast<int>(std::hash<std::string>()(settings.id.text()) % FirstListingSteps);
    return FirstListingDelay + FirstListingDelay * step / static_cast<int>(FirstListingSteps);
}

HttpServerResponse textResponse(int status, const std::string &text)
{
    HttpServerResponse out;
    out.status = status;
    out.headers["Content-Type"] = "text/plain; charset=utf-8";
    out.body = text;
    return out;
}

} // namespace

Router::Router(EventLoop &loop,
               const RouterSettings &settings,
               const Dialect &dialect,
               Store &store,
               HttpClient &client,
               std::shared_ptr<MemoryBudget> memory,
               DecisionLog &log,
               std::uint64_t seed)
    : loop_(loop)
    , settings_(settings)
    , dialect_(dialect)
    , client_(client)
    , log_(log)
    , self_{settings.id,
            settings.clients,
            settings.peers,
            settings.region,
            settings.dataCentre,
            false,
            settings.cores,
            false,
            {std::chrono::duration_cast<std::chrono::milliseconds>(loop.wallNow().time_since_epoch()).count(), 0}}
    , journal_(log)
    , servers_([this](const ServerEntry &server, bool usable) { onServerChanged(server, usable); })
    , instances_(seed)
    , limits_(settings.id, [this](const LimitReport &report) { writeLimit(log_, "server.limit", report); })
    , cold_(settings.id,
            LimitTerms::within(settings.coldServers.overage, settings.coldServers.slack),
            [this](const LimitReport &report) { writeLimit(log_, "server.cold", report); })
    , connectionShares_(settings.id)
    , choice_(servers_, latencies_, load_, limits_, cold_, notices_, emptied_, settings.regions, settings.region, seed)
    , budget_(settings.repeats, loop.now())
    , crashes_([this](Duration clearingTime) { crashReports_.onChanged(clearingTime); })
    , reach_(
          loop, servers_, [this](const ReachChange &change) { onReachChanged(change); }, [this] { return trials_.onSuspected(); })
    , trials_(
          loop,
          servers_,
          reach_,
          [this](const ServerHandle &server, const std::string &path, Duration timeout, std::function<void(ReachOutcome)> done) {
              askServer(server, path, timeout, std::move(done));
          },
          seed)
    , backends_(
          loop, client, dialect.headers(), [this](const ServerEntry &server, const ServerHints &hints) { onServerHints(server, hints); }, log)
    , peerRequests_(loop, client, dialect.headers(), settings.id, [this](const Peer &peer) { inquiry_.ask(peer.address); })
    , peerChoice_([this] { return instances_.helpersFor(self_); },
                  [this] { return instances_.hasOtherReady(self_); },
                  [this](const InstanceId &id) { return instances_.contains(id); },
                  settings.id,
                  seed)
    , rates_(
          loop, client, settings_, instances_, self_, [this] { return lease_.confirmedAt(); }, seed | 1, log)
    , context_{loop, backends_, servers_, choice_, load_, budget_, crashes_, reach_, counters_, journal_, peerRequests_, peerChoice_}
    , relays_(settings.id)
    , store_(loop, client, store, relays_, dialect.instancesPrefix(), log, firstListingDelay(settings), dialect.emptiedPrefix())
    , lease_(
          loop,
          store,
          dialect.instancesPrefix() + settings.id.text(),
          recordTerms(InstanceRole::Standby).term,
          [this](const Failure *failure) {
              log_.write(DecisionPriority::Change,
                         failure != nullptr ? "store.lost" : "store.regained",
                         {{"dependency", "lease"}, {"reason", failure != nullptr ? failure->message : std::string()}});
          },
          [this](const std::string &, std::int64_t write) {
              InstanceRecord record = self_;
              record.edition.sequence = write;
              return writeInstance(record);
          })
    , relay_(
          loop, [this] { return store_.completeUntil(); }, [this] { return relays_.depth(); })
    , crashReports_(
          loop,
          store,
          RoutingFeed::crashReportsKey(dialect, settings.id),
          crashes_,
          [this](const std::vector<CrashReport> &reports) { pushCrashReports(reports); },
          log)
    , feed_(loop,
            store_,
            dialect,
            servers_,
            instances_,
            settings.emptiesDataCentres ? &emptied_ : nullptr,
            relay_,
            log,
            {[this](const std::shared_ptr<const RouteTable> &routes) { onRoutesChanged(routes); },
             [this] { updateReadiness(); },
             [this] { onInstancesChanged(); },
             [this](std::int64_t history) { onHistoryLost(history); },
             [this](const InstanceId &from, const std::vector<CrashReport> &reports) { onCrashReports(from, reports); },
             [this](const ServerEntry &server) { choice_.onEntry(server, loop_.now()); }})
    , inquiry_(loop, client, log, {[this](const StoreEntry &config) { feed_.offerConfig(config); }, [this] { updateReadiness(); }})
    , coordinator_(context_, rates_.limiter(), seed)
    , clientEndpoint_(loop, coordinator_, log, metrics_, dialect.headers())
    , connections_(std::make_shared<ConnectionPool>(static_cast<std::uint32_t>(settings.descriptors * PooledDescriptorFraction)))
    , memory_(std::move(memory))
    , memoryReport_(*memory_, log, metrics_)
    , clients_(makeHttpServer(loop, clientLimits({}, settings.descriptors), connections_, memory_))
    , readiness_(makeHttpServer(loop, internalLimits(), connections_, memory_))
    , directory_(makeHttpServer(loop, directoryLimits(settings.descriptors), connections_, memory_))
    , peers_(makeHttpServer(loop, peerLimits({}, settings.descriptors), connections_, memory_))
    , suspended_(loop.suspended())
    , tickTimer_(loop, TickInterval, [this] { tick(); })
    , stateTimer_(loop, StateLogInterval, [this] { logState(); })
    , stopTimer_(loop, IdleCheckInterval, [this] { checkStop(); })
    , startedAt_(loop.now())
{
    clients_->setHandler([this](HttpServerRequest in, const std::shared_ptr<HttpResponder> &out) { clientEndpoint_.serve(std::move(in), out); });
    readiness_->setHandler([this](const HttpServerRequest &in, const std::shared_ptr<HttpResponder> &out) { serveReadiness(in, out); });
    directory_->setHandler([this](const HttpServerRequest &in, const std::shared_ptr<HttpResponder> &out) { serveDirectory(in, out); });
    self_.followsEmptied = settings.emptiesDataCentres;
    client_.setTotalLimit([connections = connections_, sockets = socketsOf(settings)] {
        const std::size_t open = connections->openConnections();
        return std::max(sockets - std::min(sockets, open), MinServerConnections);
    });
    client_.setShortageHandler([connections = connections_] { return connections->closeIdle(); });
    peers_->setFailureResponse(PassOnHeaders::failureResponse());
    peers_->setHandler([this](HttpServerRequest in, const std::shared_ptr<HttpResponder> &out) { servePeers(std::move(in), out); });
    registerMetrics();
}

Router::~Router()
{
    *alive_ = false;
    loop_.cancel(publishTimer_);
    loop_.cancel(rewriteTimer_);
}

Result<void> Router::listen(HttpServer &server, const char *what, const Address &address)
{
    const Result<Address> bound = server.listen(address);
    if (!bound) {
        return tl::make_unexpected(bound.error());
    }
    log_.write(DecisionPriority::Change, "listening", {{"for", what}, {"address", bound->toString()}});
    return {};
}

Result<void> Router::start()
{
    const std::vector<std::tuple<HttpServer *, const char *, Address>> listeners{{clients_.get(), "clients", settings_.clients},
                                                                                 {readiness_.get(), "readiness", settings_.readiness},
                                                                                 {directory_.get(), "directory", settings_.directory},
                                                                                 {peers_.get(), "peers", settings_.peers}};
    for (const auto &[server, what, address] : listeners) {
        Result<void> bound = listen(*server, what, address);
        if (!bound) {
            return bound;
        }
    }
    feed_.start();
    if (settings_.firstStart) {
        // The records are needed before any instance is ready, so that instances can use each other as relays.
        publishRecord();
    } else {
        publishTimer_ = loop_.schedule(RecordDelay, [this] {
            publishTimer_ = 0;
            publishRecord();
        });
    }
    tickDue_ = loop_.now();
    tick();
    tickTimer_.start();
    stateTimer_.start();
    return {};
}

void Router::reload(const RouterSettings &settings)
{
    const bool unchanged = settings == settings_;
    const bool addressesKept = settings.clients == settings_.clients && settings.readiness == settings_.readiness && settings.directory == settings_.directory;
    log_.write(DecisionPriority::Change,
               "settings.reloaded",
               {{"outcome", unchanged ? "unchanged" : "taken"}, {"addresses", addressesKept ? "kept" : "changed; they hold from the next start"}});
    settings_ = settings;
    budget_.setTerms(settings.repeats);
    memory_->setTerms(MemoryTerms::ofMachine(settings.memoryMb));
}

bool Router::isReady() const
{
    return !leaving_ && feed_.hasRoutesAndServers() && !inquiry_.isPending();
}

void Router::updateReadiness()
{
    const bool cutOff = reach_.isUnstable(loop_.now());
    const bool unchanged = self_.ready == isReady() && self_.crowded == loopDelay_.crowded() && self_.cutOff == cutOff;
    if (unchanged) {
        return;
    }
    self_.ready = isReady();
    self_.crowded = loopDelay_.crowded();
    self_.cutOff = cutOff;
    log_.write(DecisionPriority::Change,
               "readiness.changed",
               {{"ready", self_.ready ? 1 : 0},
                {"crowded", self_.crowded ? 1 : 0},
                {"cutOff", self_.cutOff ? 1 : 0},
                {"loopDelayUs", loopDelay_.smoothed().count()},
                {"config", feed_.version()}});
    onInstancesChanged();
    if (self_.ready) {
        publishRecord();
    }
}

void Router::publishRecord()
{
    if (leaving_ || std::exchange(recordPublished_, true)) {
        return;
    }
    loop_.cancel(std::exchange(publishTimer_, 0));
    const RecordTerms terms = recordTerms(role_);
    lease_.setTerm(terms.term, terms.renewalInterval);
    lease_.start(writeInstance(self_));
}

void Router::updateRole()
{
    const bool settled = !settings_.firstStart || loop_.now() - startedAt_ >= FirstSettlingTime;
    const InstanceRole role = instanceRole(role_, instances_.wouldBeChosen(self_), relays_.hasChildren(), settled && feed_.hasInstances());
    if (role_ != role) {
        role_ = role;
        log_.write(DecisionPriority::Change,
                   "role.changed",
                   {{"role", "active"}, {"depth", relays_.depth()}, {"instances", static_cast<std::int64_t>(instances_.count(self_))}});
    }
    if (!recordPublished_ || leaving_) {
        return;
    }
    const RecordTerms terms = recordTerms(role_);
    lease_.setTerm(terms.term, terms.renewalInterval);
    if (role_ == InstanceRole::Active) {
        // The others use the readiness of active instances only, so a standby instance does not write its record again.
        lease_.change(writeInstance(self_));
    }
}

void Router::tick()
{
    loopDelay_.onTimerFired(tickDue_, loop_.now());
    tickDue_ = loop_.now() + TickInterval;
    const Duration suspended = loop_.suspended();
    if (suspended - suspended_ > MinSuspension) {
        log_.write(DecisionPriority::Change, "machine.woke", {{"suspendedMs", (suspended - suspended_).count() / 1000}});
        // The peers may have closed the connections, and all data from the store may be outdated.
        client_.closeIdle();
        store_.forgetConfirmations();
        feed_.restart();
    }
    suspended_ = suspended;
    relay_.endStalePolls();
    cold_.update(loop_.now());
    logRelayFreshness();
    updateReadiness();
    updateConnectionFraction();
    updateRole();
}

void Router::logRelayFreshness()
{
    const bool fresh = relay_.isFresh();
    if (!relays_.hasChildren() || std::exchange(relayFresh_, fresh) == fresh) {
        return;
    }
    log_.write(DecisionPriority::Change,
               fresh ? "relay.fresh" : "relay.stale",
               {{"ageMs", std::min<std::int64_t>(relay_.age().count() / 1000, MaxLoggedAgeMs)}, {"depth", relays_.depth()}, {"config", feed_.version()}});
}

void Router::logState()
{
    metrics_.forEachValue([this](const std::string &name, double value) {
        if (value != 0) {
            log_.write(DecisionPriority::Routine, "state", {{"value", name}, {"is", static_cast<std::int64_t>(value)}});
        }
    });
}

void Router::addMetric(std::string name, std::string kind, std::string help, std::function<double()> read)
{
    metrics_.addValue(std::move(name), std::move(kind), std::move(help), std::move(read));
}

void Router::serveReadiness(const HttpServerRequest &incoming, const std::shared_ptr<HttpResponder> &responder)
{
    if (incoming.path != dialect_.readinessPath()) {
        responder->respond(textResponse(AnswerStatus::NotFound, "no such path\n"));
        return;
    }
    responder->respond(isReady() ? textResponse(AnswerStatus::Ok, "ready\n") : textResponse(AnswerStatus::Unavailable, leaving_ ? "leaving\n" : "starting\n"));
}

void Router::serveDirectory(const HttpServerRequest &incoming, const std::shared_ptr<HttpResponder> &responder)
{
    if (incoming.path != dialect_.directoryPath()) {
        responder->respond(textResponse(AnswerStatus::NotFound, "no such path\n"));
        return;
    }
    const auto region = incoming.query.find(dialect_.regionParameter());
    updateReadiness();
    const auto addresses = instances_.addressesFor(region == incoming.query.end() ? self_.region : Region(region->second), self_, MaxAddresses);
    if (addresses.empty()) {
        responder->respond(textResponse(AnswerStatus::Unavailable, "no instance is ready\n"));
        return;
    }
    responder->respond(dialect_.directoryAnswer(addresses, settings_.directoryTtl));
}

void Router::servePeers(HttpServerRequest incoming, const std::shared_ptr<HttpResponder> &responder)
{
    // Before the paths, since a client's request may have any.
    if (PassOnHeaders::isPassedOn(incoming.headers)) {
        clientEndpoint_.servePassedOn(std::move(incoming), responder);
        return;
    }
    if (incoming.path == RelayService::ChangesPath || incoming.path == RelayService::EntriesPath) {
        relay_.serve(incoming, responder);
        return;
    }
    if (incoming.path == CrashReportsPath) {
        takePushedReports(incoming, *responder);
        return;
    }
    if (incoming.path == RateService::Path) {
        rates_.serve(incoming, *responder);
        return;
    }
    if (incoming.path == ConfigInquiry::Path) {
        servePeerConfig(responder);
        return;
    }
    responder->respond(incoming.path == MetricsPath ? textResponse(AnswerStatus::Ok, metrics_.text()) : textResponse(AnswerStatus::NotFound, "no such path\n"));
}

void Router::onRoutesChanged(const std::shared_ptr<const RouteTable> &routes)
{
    clientEndpoint_.setConfigVersion(routes->config().version);
    choice_.setServices(routes->config().services);
    choice_.placing().setConfig(routes->config());
    trials_.setServices(routes->config().services);
    rates_.setConfig(routes->config());
    coordinator_.setRoutes(routes);
    clients_->setLimits(clientLimits(routes->config().limits, settings_.descriptors));
    peers_->setLimits(peerLimits(routes->config().limits, settings_.descriptors));
    updateConnectionLimits();
    updateReadiness();
}

void Router::onInstancesChanged()
{
    choice_.setInstances(instances_.chosenIn(self_.region, self_).size());
    connectionShares_.setHolders(instances_.connectionHolders(self_), loop_.now());
    updateConnectionFraction();
    peerChoice_.onHelpersChanged(loop_.now());
    const Senders senders = instances_.senders(self_);
    budget_.setInstances(senders.self ? senders.count : instances_.count(self_) * OutsiderBudgetDivisor, loop_.now());
    const std::vector<InstanceId> senderIds = feed_.hasInstances() ? instances_.senderIds(self_) : std::vector<InstanceId>();
    limits_.setSenders(senderIds, loop_.now());
    cold_.setSenders(senderIds, loop_.now());
    rates_.onInstancesChanged(feed_.hasInstances());
    relays_.setInstances(instances_.recordsIn(self_.region));
    store_.setAnswerInterval(relays_.hasChildren() ? DataAge::storeAnswerInterval(relays_.depth()) : Duration::max());
    updateRole();
    askPeersForConfig();
}

void Router::askPeersForConfig()
{
    // When the whole system starts, no one has had a configuration before.
    if (settings_.firstStart || !feed_.hasInstances()) {
        return;
    }
    std::vector<Region> regions{self_.region};
    for (const auto &[dataCentre, region] : settings_.regions) {
        regions.push_back(region);
    }
    std::set<InstanceId> listed{self_.id};
    std::vector<Address> peers;
    for (const Region &region : regions) {
        for (const InstanceRecord &record : instances_.recordsIn(region)) {
            if (record.ready && listed.insert(record.id).second) {
                peers.push_back(record.peers);
            }
        }
    }
    inquiry_.start(std::move(peers));
}

void Router::servePeerConfig(const std::shared_ptr<HttpResponder> &responder) const
{
    const auto config = feed_.configInForce();
    if (!config) {
        responder->respond(textResponse(AnswerStatus::NotFound, "no configuration\n"));
        return;
    }
    HttpServerResponse out;
    out.jsonByDefault = false;
    out.headers[RelayFormat::Header] = std::to_string(RelayFormat::Current);
    out.body = writeRange({{*config}, config->modRevision});
    responder->respond(std::move(out));
}

void Router::pushCrashReports(const std::vector<CrashReport> &reports)
{
    const std::vector<InstanceId> senders = instances_.senderIds(self_);
    std::set<Region> regions;
    for (const auto &[dataCentre, region] : settings_.regions) {
        regions.insert(region);
    }
    for (const Region &region : regions) {
        for (const InstanceRecord &record : instances_.recordsIn(region)) {
            if (record.id == settings_.id || std::find(senders.begin(), senders.end(), record.id) == senders.end()) {
                continue;
            }
            HttpRequest request;
            request.address = record.peers;
            request.method = "POST";
            request.path = std::string(CrashReportsPath) + "?from=" + percentEncode(settings_.id.text());
            request.body = writeCrashReports(reports, loop_.wallNow());
            request.timeout = PushTimeout;
            // The store has them too.
            client_.send(std::move(request), [](const Result<HttpResponse> &) {});
        }
    }
}

void Router::takePushedReports(const HttpServerRequest &incoming, HttpResponder &responder)
{
    const auto from = incoming.query.find("from");
    const auto reports = readCrashReports(incoming.body, loop_.wallNow());
    if (from == incoming.query.end() || !reports) {
        log_.write(DecisionPriority::Problem, "crashes.skipped", {{"reason", reports ? "no sender" : reports.error().message}});
        responder.respond(textResponse(AnswerStatus::BadRequest, "no crash reports\n"));
        return;
    }
    log_.write(DecisionPriority::Change,
               "crashes.learned",
               {{"from", from->second},
                {"requests", static_cast<std::int64_t>(reports->size())},
                {"latest", reports->empty() ? std::string() : reports->front().request.text()},
                {"revision", 0}});
    onCrashReports(InstanceId(from->second), *reports);
    responder.respond(textResponse(AnswerStatus::Ok, "taken\n"));
}

void Router::onCrashReports(const InstanceId &from, const std::vector<CrashReport> &reports)
{
    if (from != settings_.id) {
        crashes_.addReports(from, reports, loop_.now());
    } else if (!crashReports_.hasWritten()) {
        crashes_.adoptReports(reports, loop_.now());
    }
}

void Router::onHistoryLost(std::int64_t history)
{
    crashReports_.rewrite();
    if (!recordPublished_ || leaving_) {
        return;
    }
    // Hundreds of standby instances write again one after the other, within the time for which others keep their records.
    const auto step = static_cast<int>(std::hash<std::string>()(settings_.id.text()) % RewriteSteps);
    const Duration delay = role_ == InstanceRole::Active ? Duration{0} : RewriteStep * step;
    loop_.cancel(rewriteTimer_);
    rewriteTimer_ = loop_.schedule(delay, [this, history] {
        rewriteTimer_ = 0;
        lease_.onHistoryLost(history);
    });
}

void Router::updateConnectionFraction()
{
    const double fraction = connectionShares_.fraction(loop_.now());
    if (fraction == choice_.connectionFraction()) {
        return;
    }
    constexpr double Thousandths = 1000;
    choice_.setConnectionFraction(fraction);
    log_.write(DecisionPriority::Change, "connections.shared", {{"perThousand", static_cast<std::int64_t>(fraction * Thousandths)}});
    updateConnectionLimits();
}

void Router::updateConnectionLimits()
{
    for (const auto &[id, server] : usableServers_) {
        const std::uint32_t share = choice_.connectionShare(server.service);
        client_.setLimits(server.address, ConnectionLimits{share, share, MaxServerResponseBytes});
    }
}

void Router::onServerChanged(const ServerEntry &server, bool usable)
{
    if (!feed_.isListingServers()) {
        log_.write(DecisionPriority::Change,
                   "server.changed",
                   {{"server", server.id.text()},
                    {"service", server.service.text()},
                    {"address", server.address.toString()},
                    {"usable", usable ? 1 : 0},
                    {"draining", server.draining ? 1 : 0},
                    {"born", server.born}});
    }
    if (usable) {
        usableServers_[server.id] = server;
        choice_.onListed(server, loop_.now());
        const std::uint32_t share = choice_.connectionShare(server.service);
        client_.setLimits(server.address, ConnectionLimits{share, share, MaxServerResponseBytes});
        return;
    }
    usableServers_.erase(server.id);
    choice_.onRemoved(server.id, loop_.now());
    const bool reused =
        std::any_of(usableServers_.begin(), usableServers_.end(), [&server](const auto &other) { return other.second.address == server.address; });
    if (!reused) {
        client_.setLimits(server.address, ConnectionLimits{1, 0, 0});
    }
}

void Router::onReachChanged(const ReachChange &change)
{
    disregardCut(context_, change);
    if (change.cutOff) {
        ++cutOffs_;
        log_.write(DecisionPriority::Change,
                   "servers.unreachable",
                   {{"servers", static_cast<std::int64_t>(change.servers)}, {"sinceAnswerMs", change.sinceResponse.count() / 1000}, {"how", change.how}});
    } else {
        log_.write(DecisionPriority::Change, "servers.reached", {{"forMs", change.lasted.count() / 1000}});
    }
    coordinator_.onReachChanged();
    trials_.update();
    updateReadiness();
    if (change.cutOff) {
        leaveServerConnections();
    }
}

void Router::leaveServerConnections()
{
    for (const auto &[id, server] : usableServers_) {
        const std::uint32_t share = choice_.connectionShare(server.service);
        client_.setLimits(server.address, ConnectionLimits{share, 0, MaxServerResponseBytes});
    }
    updateConnectionLimits();
    std::vector<Address> addresses;
    addresses.reserve(usableServers_.size());
    for (const auto &[id, server] : usableServers_) {
        addresses.push_back(server.address);
    }
    for (const Address &address : addresses) {
        client_.failUnsent(address);
    }
}

void Router::askServer(const ServerHandle &server, const std::string &path, Duration timeout, std::function<void(ReachOutcome)> done)
{
    HttpRequest request;
    request.address = server->address;
    request.method = "GET";
    request.path = path;
    request.headers[dialect_.headers().targetServer] = server->id.text();
    request.timeout = timeout;
    client_.send(std::move(request), [done = std::move(done)](const Result<HttpResponse> &response) {
        done(response ? ReachOutcome::Response : reachOutcomeOf(response.error()));
    });
}

void Router::onServerHints(const ServerEntry &server, const ServerHints &hints)
{
    const TimePoint now = loop_.now();
    if (hints.limitKnown) {
        limits_.onAnswer(server, hints.limit, now);
    }
    if (hints.load) {
        choice_.placing().onTold(server, *hints.load, now);
    }
    const auto log = [this, &server](const char *outcome, Duration span) {
        log_.write(
            DecisionPriority::Change,
            "server.notice",
            {{"server", server.id.text()}, {"service", server.service.text()}, {"outcome", outcome}, {"forMs", span.count() / 1000}, {"born", server.born}});
    };
    if (hints.leaving && notices_.onLeaving(server, now)) {
        log("leaving", Duration{0});
    }
    if (hints.pause && notices_.onPause(server, *hints.pause, now)) {
        log("paused", *hints.pause);
    }
}

void Router::shutDown(std::function<void()> done)
{
    if (leaving_) {
        return;
    }
    leaving_ = true;
    onStopped_ = std::move(done);
    leavingSince_ = loop_.now();
    log_.write(DecisionPriority::Change, "leaving", {{"waiting", static_cast<std::int64_t>(coordinator_.pendingRequests())}});
    updateReadiness();
    if (recordPublished_) {
        lease_.withdraw();
    }
    clients_->announceClose();
    directory_->announceClose();
    const Duration closingDelay = std::min<Duration>(settings_.directoryTtl * TtlsBeforeClosing, settings_.stopTime / 2);
    // Also those that wait in kept connections while the loop is late.
    clientEndpoint_.refuseFrom(leavingSince_ + closingDelay);
    loop_.schedule(closingDelay, [this] { closeListeners(); });
}

void Router::closeListeners()
{
    clients_->stopAccepting();
    clients_->closeConnectionsAfterAnswers();
    log_.write(DecisionPriority::Change, "closing", {{"waiting", static_cast<std::int64_t>(coordinator_.pendingRequests())}});
    stopTimer_.start();
    checkStop();
}

void Router::checkStop()
{
    const TimePoint now = loop_.now();
    if (!lastAnswersUntil_ && leavingSince_ + settings_.stopTime - now < StopMargin) {
        lastAnswersUntil_ = now + LastAnswersTime;
        if (hasWork()) {
            log_.write(DecisionPriority::Change, "unfinished", {{"requests", static_cast<std::int64_t>(coordinator_.pendingRequests())}});
            coordinator_.failAll("the instance is stopping, and its time is over");
        }
    }
    const bool deadlinePassed = lastAnswersUntil_ && now >= *lastAnswersUntil_;
    // The last answers to other instances are sent by the next check.
    const bool idle = !std::exchange(wasBusy_, hasWork()) && !wasBusy_ && clients_->openConnections() == 0;
    if (deadlinePassed || idle) {
        log_.write(DecisionPriority::Change, "stopped", {{"unanswered", static_cast<std::int64_t>(clients_->requestsInFlight())}});
        log_.flush();
        stopTimer_.stop();
        onStopped_();
    }
}

bool Router::hasWork() const
{
    return clients_->requestsInFlight() > 0 || coordinator_.pendingRequests() > 0;
}

void Router::registerMetrics()
{
    rates_.registerMetrics(metrics_);
    const auto counter = [this](const char *name, const char *help, const std::uint64_t *value) {
        metrics_.addValue(name, "counter", help, [value] { return static_cast<double>(*value); });
    };
    counter("burdock_first_sends_total", "Requests sent to a server for the first time.", &counters_.firstSends);
    counter("burdock_hedges_total", "Requests sent to a second server because the first was late.", &counters_.hedges);
    counter("burdock_retries_total", "Requests sent to another server after a failure.", &counters_.retries);
    counter("burdock_repeats_denied_total", "Hedges and retries that the budget did not allow.", &counters_.repeatsDenied);
    addRefusalMetrics(metrics_, counters_);
    counter("burdock_failed_at_servers_total", "Requests that failed and may have run.", &counters_.failedAtServers);
    const HttpServerCounters &clients = clients_->counters();
    counter("burdock_connections_refused_total", "Clients' connections that were closed at once, since there were too many.", &clients.refusedConnections);
    counter("burdock_accepts_failed_total", "Attempts to accept clients' connections that failed, as for lack of descriptors.", &clients.failedAccepts);
    counter("burdock_descriptor_shortages_total", "Clients' connections that waited since descriptors or memory were used up.", &clients.shortages);
    counter("burdock_connections_replaced_total", "Clients' idle connections that were closed for new ones.", &clients.replacedConnections);
    counter("burdock_connections_timed_out_total", "Clients' connections that were closed since they sent or read too slowly.", &clients.timedOut);
    counter("burdock_answers_dropped_total", "Answers whose clients had closed their connections.", &clients.droppedAnswers);
    counter("burdock_cut_offs_total", "Times that no server could be reached.", &cutOffs_);
    addCostMetrics(metrics_, choice_.placing(), loop_);
    metrics_.addValue("burdock_cut_off", "gauge", "Whether no server can be reached.", [this] { return reach_.isCutOff() ? 1.0 : 0.0; });
    metrics_.addValue("burdock_reach_trials_total", "counter", "Requests to servers' health paths while none can be reached.", [this] {
        return static_cast<double>(trials_.count());
    });
    counter("burdock_passed_on_total", "Requests passed on to another instance, once for each instance asked.", &counters_.passedOn);
    counter("burdock_passed_on_failed_total", "Requests passed on to another instance that did not serve them.", &counters_.passedOnFailed);
    counter("burdock_served_for_others_total", "Requests served that another instance had passed on.", &counters_.servedForOthers);
    metrics_.addValue("burdock_loop_delay_microseconds", "gauge", "How late the loop gets to its work, smoothed over a second.", [this] {
        return static_cast<double>(loopDelay_.smoothed().count());
    });
    metrics_.addValue(
        "burdock_requests_waiting", "gauge", "Requests that wait for their answer.", [this] { return static_cast<double>(coordinator_.pendingRequests()); });
    metrics_.addValue("burdock_config_version", "gauge", "Version of the routes in force.", [this] { return static_cast<double>(feed_.version()); });
    metrics_.addValue(
        "burdock_servers_limited", "gauge", "Servers that name a limit in their answers.", [this] { return static_cast<double>(limits_.count()); });
    metrics_.addValue(
        "burdock_data_centres_emptied", "gauge", "Data centres that operators have emptied.", [this] { return static_cast<double>(emptied_.count()); });
    metrics_.addValue(
        "burdock_servers_cold", "gauge", "Servers that take fewer requests while they are cold.", [this] { return static_cast<double>(cold_.count()); });
    metrics_.addValue("burdock_servers_listed", "gauge", "Servers with an entry.", [this] { return static_cast<double>(servers_.size()); });
    metrics_.addValue("burdock_instances", "gauge", "Instances with a record.", [this] { return static_cast<double>(instances_.count(self_)); });
    metrics_.addValue(
        "burdock_log_lines_dropped_total", "counter", "Log lines for which there was no room.", [this] { return static_cast<double>(log_.dropped()); });
}

} // namespace Burdock
