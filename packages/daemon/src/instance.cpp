#include <burdock/daemon/instance.h>

#include <algorithm>
#include <burdock/daemon/instancemetrics.h>
#include <burdock/daemon/log.h>
#include <burdock/policy/configwatchers.h>
#include <burdock/policy/rendezvous.h>
#include <random>
#include <utility>

namespace Burdock
{

namespace
{

/// Connection limits for addresses that belong to no declared fleet, which are those of the platform.
const ConnectionLimits PlatformConnectionLimits{8, 2, std::size_t{4} * 1024 * 1024};
InstanceLifeSettings lifeSettings(const Settings &settings)
{
    InstanceLifeSettings life;
    life.entriesMaxAge = settings.entriesMaxAge;
    life.leaveSpread = settings.leaveSpread;
    return life;
}

/// The maximum number of attempts to find a port that is free for both links (TCP) and probes (UDP).
constexpr int PortAttempts = 20;
constexpr std::size_t MaxBackendResponseBytes = std::size_t{2} * 1024 * 1024;

} // namespace

Instance::Instance(EventLoop &loop, Settings settings, std::uint64_t incarnation)
    : loop_(loop)
    , settings_(std::move(settings))
    , incarnation_(incarnation)
    , self_{settings_.id, settings_.place, settings_.callers, settings_.peers, false}
    , memory_(std::make_shared<MemoryBudget>(loop, MemoryTerms::ofMachine(settings_.memoryMb)))
    , client_(makeHttpClient(loop, PlatformConnectionLimits, memory_))
    , server_(makeHttpServer(loop, HttpServerLimits{}, nullptr, memory_))
    , links_(makePeerLinks(loop, settings_.id, incarnation, memory_))
    , store_(makeEtcdStore(loop, *client_, settings_.store, settings_.storeTimeout))
    , listSource_(makeHttpInstanceList(loop, *client_, settings_.instanceList))
    , backendLives_(loop, BackendLifeSettings{}, [this](const ServerId &server, BackendState state) { onBackendStateChanged(server, state); })
    , backends_(loop, *client_, [this](const ServerId &server) { return directory_.serverAddress(server); })
    , holder_(loop, backends_)
    , holderService_(*links_, holder_, [this] { return peerIds(); })
    , router_(loop, *links_, holder_, settings_.id, incarnation, [this](const ServerId &server) { return directory_.holders(server); })
    , tactics_(loop, std::random_device{}())
    , ids_(settings_.id, incarnation)
    , admission_(loop, std::random_device{}())
    , queries_(
          QueryContext{loop, router_, tactics_, tracker_, ids_, queryCounters_, QueryLimits{}}, [this] { return configuration_; }, admission_)
    , claimStore_(*store_)
    , claimOwner_(loop, claimStore_)
    , claims_(loop, *links_, claimOwner_, settings_.id, [this](std::size_t partition) { return rendezvousOrder(claimPartitionName(partition), liveIds()); })
    , claimSweeper_(
          loop, claimStore_, [this] { return configuration_; }, [this](const CommandName &command) { return isSweeper(command); })
    , commands_(
          CommandContext{loop, router_, claims_, tactics_, ids_, commandCounters_, settings_.id, incarnation, CommandLimits{}},
          [this] { return configuration_; },
          incarnation ^ std::random_device{}())
    , entryList_(EntryListSettings{}, std::random_device{}())
    , entry_(loop, *server_, queries_, metrics_, entryPorts())
    , life_(loop, *this, lifeSettings(settings_))
    , configDistributor_(
          loop, *store_, *links_, ConfigSettings{}, configPeerView(), std::random_device{}(), [this](const ConfigurationPtr &next) { install(next); })
{
    connectHandlers();
    registerInstanceMetrics(
        metrics_,
        MetricSources{queryCounters_, tactics_, commandCounters_, admission_, holder_, router_, backends_, backendLives_, *server_, *memory_, *links_});
}

Instance::~Instance() = default;

Result<void> Instance::start()
{
    Result<void> listening = listen();
    if (!listening) {
        return listening;
    }
    startMembership();
    listSource_->follow([this](const InstanceList &list) { updateList(list); });
    configDistributor_.start();
    claimSweeper_.start();
    return {};
}

Result<void> Instance::listen()
{
    const Result<Address> callers = server_->listen(settings_.callers);
    if (!callers) {
        return tl::make_unexpected(callers.error());
    }
    const Result<Address> peers = listenForPeers();
    if (!peers) {
        return tl::make_unexpected(peers.error());
    }
    self_.callers = *callers;
    self_.peers = *peers;
    return {};
}

Result<Address> Instance::listenForPeers()
{
    Result<Address> listening = notRun(Errc::Unavailable, "no port was tried");
    for (int attempt = 0; attempt < PortAttempts && !listening; ++attempt) {
        socket_ = makeDatagramSocket(loop_);
        const Result<Address> bound = socket_->bind(settings_.peers);
        listening = bound ? links_->listen(*bound) : bound;
        if (settings_.peers.port != 0) {
            break;
        }
    }
    return listening;
}

void Instance::startMembership()
{
    probes_ = std::make_unique<ProbeChannel>(*socket_);
    membership_ = std::make_unique<Membership>(loop_, *probes_, self_, incarnation_, std::random_device{}());
    probes_->setHandler([this](const Address &from, const ProbeMessage &message) {
        membership_->onDatagram(from, message);
        if (membership_->member(message.from) != nullptr) {
            configDistributor_.keeper().onPeerVersion(message.from, message.configVersion);
        }
    });
    configDistributor_.keeper().onChange([this](const ConfigStatus &status) { onConfigStatus(status); });
    registerMembershipMetrics(metrics_, *membership_);
    membership_->onChange([this] { updateLive(); });
    life_.onChange([](const std::string &state) { logChange("instance", state); });
    updateLive();
}

const ListedInstance &Instance::self() const
{
    return self_;
}

void Instance::shutDown(std::function<void()> done)
{
    onShutDown_ = std::move(done);
    life_.terminate();
}

void Instance::confirmConfiguration()
{
    if (configDistributor_.keeper().mayAdmit()) {
        life_.onConfigConfirmed();
    }
}

void Instance::setReady(bool ready)
{
    membership_->setReady(ready);
}

void Instance::announceLeaving()
{
    membership_->leave();
}

void Instance::closeConnectionsAfterAnswers()
{
    server_->closeConnectionsAfterAnswers();
    holderService_.refuseNewWork();
}

std::size_t Instance::inFlight() const
{
    return entry_.inFlight() + holderService_.inFlight() + commands_.running() + claimOwner_.pending() + claims_.pending();
}

void Instance::handOver(std::function<void()> done)
{
    loop_.schedule(Duration{0}, std::move(done));
}

void Instance::exit(std::size_t abandoned)
{
    logChange("instance", "exits", {{"cut", std::to_string(abandoned)}});
    if (onShutDown_) {
        onShutDown_();
    }
}

void Instance::connectHandlers()
{
    links_->setHandlers([this](const InstanceId &from, PeerMessage message) { handleMessage(from, std::move(message)); },
                        [this](const InstanceId &peer) {
                            router_.onPeerLost(peer);
                            holderService_.onPeerLost(peer);
                            claims_.onPeerLost(peer);
                        });
    const auto handleReport = [this](const ServerReport &report) {
        tracker_.update(report);
        tactics_.onServerReport(report);
        admission_.onServerReport(report);
    };
    holder_.onReport([this, handleReport](const ServerReport &report) {
        handleReport(report);
        holderService_.publish(report);
    });
    router_.setReportHandler(handleReport);
    backends_.setDispatchFilter([this](const SubRequest &request) { return mayDispatch(request); });
    backends_.setReplyHandler([this](const ServerId &server, bool draining, TimePoint dispatched) { backendLives_.onReply(server, draining, dispatched); });
}

void Instance::handleMessage(const InstanceId &from, PeerMessage message)
{
    if (const auto *request = std::get_if<SubRequest>(&message)) {
        holderService_.submit(from, *request);
    } else if (const auto *reply = std::get_if<SubReply>(&message)) {
        router_.onReply(*reply);
    } else if (const auto *cancelled = std::get_if<CancelSubRequest>(&message)) {
        holderService_.cancel(from, cancelled->id);
    } else if (std::holds_alternative<SubscribeReports>(message)) {
        holderService_.subscribe(from);
    } else if (const auto *report = std::get_if<ServerReport>(&message)) {
        router_.onPeerReport(*report);
        backendLives_.onPeerReport(from, *report);
    } else if (const auto *claim = std::get_if<ClaimRequest>(&message)) {
        claims_.onClaimRequest(from, *claim);
    } else if (const auto *answer = std::get_if<ClaimAnswer>(&message)) {
        claims_.onClaimAnswer(from, *answer);
    } else if (const auto *outcome = std::get_if<ClaimOutcome>(&message)) {
        claims_.onClaimOutcome(*outcome);
    } else if (const auto *fetch = std::get_if<ConfigFetch>(&message)) {
        configDistributor_.onFetch(from, *fetch);
    } else if (const auto *offer = std::get_if<ConfigOffer>(&message)) {
        configDistributor_.onOffer(from, *offer);
    }
}

void Instance::updateList(const InstanceList &list)
{
    if (!directory_.updateList(list)) {
        return;
    }
    backendLives_.onInstanceList(list);
    updateConnectionLimits();
    membership_->onInstanceList(list);
    for (const Member &member : membership_->members()) {
        links_->setPeer(member.instance.id, member.instance.peers);
    }
    updateLive();
}

void Instance::updateLive()
{
    std::vector<ListedInstance> live = membership_->live();
    std::vector<EntryCandidate> candidates;
    for (const ListedInstance &instance : live) {
        candidates.push_back(EntryCandidate{instance, !instance.leaving, 1.0});
        if (instance.id != self_.id) {
            links_->setPeer(instance.id, instance.peers);
        }
    }
    entryList_.setCandidates(std::move(candidates));
    directory_.updateLive(std::move(live));
}

void Instance::install(ConfigurationPtr configuration)
{
    configuration_ = std::move(configuration);
    holder_.configure(configuration_);
    updateConnectionLimits();
    membership_->setConfigVersion(configuration_->version);
    life_.setMaxRequestTime(longestWait(*configuration_));
    logChange("configuration", "in force", {{"version", std::to_string(configuration_->version)}, {"hash", configuration_->hash}});
}

void Instance::onConfigStatus(const ConfigStatus &status)
{
    if (configDistributor_.keeper().mayAdmit()) {
        life_.onConfigConfirmed();
    } else {
        life_.onConfigUnconfirmed();
    }
    if (!status.unusableFault.empty()) {
        logWarning("configuration", "unusable", {{"version", std::to_string(status.unusableVersion)}, {"fault", status.unusableFault}});
    }
    logChange("configuration", status.state, {{"version", std::to_string(status.version)}});
}

ConfigPeerView Instance::configPeerView() const
{
    const auto peers = [this] {
        std::vector<InstanceId> ids;
        for (const Member &member : membership_->members()) {
            if (!member.instance.leaving && member.life != MemberLife::Leaving) {
                ids.push_back(member.instance.id);
            }
        }
        return ids;
    };
    return ConfigPeerView{peers, [this] { return isConfigWatcher(self_, membership_->live()); }};
}

std::vector<InstanceId> Instance::peerIds() const
{
    std::vector<InstanceId> ids = liveIds();
    ids.erase(std::remove(ids.begin(), ids.end(), self_.id), ids.end());
    return ids;
}

std::vector<InstanceId> Instance::liveIds() const
{
    std::vector<InstanceId> ids;
    for (const ListedInstance &instance : directory_.live()) {
        ids.push_back(instance.id);
    }
    return ids;
}

bool Instance::isSweeper(const CommandName &command) const
{
    const std::vector<InstanceId> first = rendezvousFirst("sweep/" + command.text(), liveIds(), 1);
    return !first.empty() && first.front() == self_.id;
}

void Instance::updateConnectionLimits()
{
    if (!configuration_) {
        return;
    }
    for (const ListedServer &server : directory_.list().servers) {
        const auto fleet = configuration_->fleets.find(server.fleet);
        if (fleet != configuration_->fleets.end()) {
            const std::uint32_t share = std::max<std::uint32_t>(1, fleet->second.connections / HoldersPerServer);
            client_->setLimits(server.address, ConnectionLimits{share, std::min(share, fleet->second.slots), MaxBackendResponseBytes});
        }
    }
}

bool Instance::mayDispatch(const SubRequest &request)
{
    const bool trial = backendLives_.state(request.server) == BackendState::Suspected;
    if (!backendLives_.acceptsWork(request.server) || (trial && request.kind == SubRequestKind::Command)) {
        return false;
    }
    backendLives_.onDispatched(request.server);
    return true;
}

void Instance::onBackendStateChanged(const ServerId &server, BackendState state)
{
    holder_.setDraining(server, state == BackendState::Draining || state == BackendState::Gone);
}

EntryPorts Instance::entryPorts()
{
    EntryPorts ports;
    ports.admissionRefusal = [this] { return admissionRefusal(); };
    ports.entries = [this](const Place &caller) { return entryList_.answerFor(caller.region.empty() ? self_.place : caller).entries; };
    ports.entriesMaxAge = settings_.entriesMaxAge;
    ports.command = [this](const CommandRequest &request, CommandRun::Done done) { commands_.submit(request, std::move(done)); };
    ports.rankOf = [this](const CallerId &caller, const IndexName &index, const CommandName &command) { return rankOf(caller, index, command); };
    ports.status = [this] { return writeStatus(status()); };
    return ports;
}

InstanceStatus Instance::status() const
{
    InstanceStatus status;
    status.self = self_;
    status.incarnation = incarnation_;
    status.life = life_.state();
    status.configuration = configDistributor_.statusJson();
    for (const ListedServer &server : directory_.list().servers) {
        const std::vector<InstanceId> &holders = directory_.holders(server.id);
        if (!holders.empty() && holders.front() == self_.id) {
            status.holds.push_back(server.id);
        }
    }
    for (const Member &member : membership_->members()) {
        status.members.push_back(statusOf(member));
    }
    status.requestsInFlight = inFlight();
    return status;
}

std::optional<Failure> Instance::admissionRefusal()
{
    if (auto refusal = life_.refusal()) {
        return refusal;
    }
    if (!configDistributor_.keeper().mayAdmit()) {
        return Failure{Errc::NotReady, Verdict::NotRun, "this instance has no confirmed configuration; ask another one", std::chrono::seconds(1)};
    }
    return std::nullopt;
}

Rank Instance::rankOf(const CallerId &caller, const IndexName &index, const CommandName &command) const
{
    const auto rankIn = [&caller](const auto &declarations, const auto &name) {
        const auto found = declarations.find(name);
        if (found == declarations.end() || found->second.callers.count(caller) == 0) {
            return Rank::Batch;
        }
        return found->second.callers.at(caller).rank;
    };
    return command.empty() ? rankIn(configuration_->indexes, index) : rankIn(configuration_->commands, command);
}

} // namespace Burdock
