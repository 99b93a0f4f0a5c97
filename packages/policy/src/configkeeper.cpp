#include <burdock/policy/configkeeper.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

const ChartTable<ConfigKeeper> &ConfigKeeper::table()
{
    static const ChartTable<ConfigKeeper> table(chartNamed("configuration"), {{"beginConfirmation", &ConfigKeeper::beginConfirmation}});
    return table;
}

ConfigKeeper::ConfigKeeper(Runtime &runtime, ConfigPort &port, ConfigSettings settings, ConfigPeerView peerView, std::uint64_t seed)
    : runtime_(runtime)
    , port_(port)
    , settings_(settings)
    , peerView_(std::move(peerView))
    , random_(seed)
    , run_(table(), *this)
    , confirmation_(settings.confirmation, runtime.now(), 0)
{
}

ConfigKeeper::~ConfigKeeper()
{
    runtime_.cancel(fetchTimer_);
    runtime_.cancel(checkTimer_);
}

void ConfigKeeper::start()
{
    const TimePoint now = runtime_.now();
    lastCheck_ = lastPeerContact_ = lastStoreContact_ = nextWatch_ = now;
    beginConfirmation();
    updateWatch();
    schedulePoll();
    checkTimer_ = runtime_.schedule(settings_.checkInterval, [this] { runChecks(); });
}

bool ConfigKeeper::mayAdmit()
{
    detectPause();
    return configuration_ != nullptr && isConfirmed();
}

std::uint64_t ConfigKeeper::version() const
{
    return configuration_ ? configuration_->version : 0;
}

bool ConfigKeeper::isConfirmed() const
{
    return run_.isIn("current") || run_.isIn("behind");
}

const ConfigurationPtr &ConfigKeeper::configuration() const
{
    return configuration_;
}

ConfigStatus ConfigKeeper::status() const
{
    const std::uint64_t highestSeen = std::max({peerVersions_.highestVersion(), version(), unusableVersion_});
    return {run_.state(), version(), inForceSince_, highestSeen, unusableVersion_, unusableFault_, watching_};
}

const ConfigCounters &ConfigKeeper::counters() const
{
    return counters_;
}

void ConfigKeeper::onChange(std::function<void(const ConfigStatus &)> handler)
{
    onChange_ = std::move(handler);
}

void ConfigKeeper::beginConfirmation()
{
    confirmation_ = ConfigConfirmation(settings_.confirmation, runtime_.now(), lastNumber_ + 1);
    pendingStoreRead_ = 0;
    peersKnown_ = !peerView_.peers().empty();
    requestConfirmation();
}

void ConfigKeeper::requestConfirmation()
{
    if (pendingStoreRead_ == 0 && !confirmation_.hasStoreAnswer()) {
        readStore();
    }
    for (const InstanceId &peer : pickRandomPeers(settings_.confirmation.peers)) {
        port_.requestVersion(++lastNumber_, peer);
    }
}

void ConfigKeeper::evaluateConfirmation()
{
    const bool known = configuration_ != nullptr || confirmation_.hasStoreAnswer();
    if (!known || !run_.isIn("unconfirmed") || !confirmation_.isDecided(runtime_.now(), peerView_.peers().size())) {
        return;
    }
    const std::uint64_t accepted = confirmation_.version();
    const bool unusable = accepted <= unusableVersion_ && configuration_ != nullptr;
    if (version() >= accepted || unusable) {
        raise("confirmed");
        updateBehindState();
    }
}

void ConfigKeeper::runChecks()
{
    detectPause();
    lastCheck_ = runtime_.now();
    updateWatch();
    pollStoreIfDue();
    detectIsolation();
    if (run_.isIn("unconfirmed")) {
        // The peer timeout starts when the first peer becomes known.
        if (peersKnown_ || peerView_.peers().empty()) {
            requestConfirmation();
        } else {
            beginConfirmation();
        }
        evaluateConfirmation();
    }
    checkTimer_ = runtime_.schedule(settings_.checkInterval, [this] { runChecks(); });
}

void ConfigKeeper::detectPause()
{
    const TimePoint now = runtime_.now();
    if (now - lastCheck_ <= settings_.pauseLimit) {
        return;
    }
    lastCheck_ = lastPeerContact_ = lastStoreContact_ = now;
    ++counters_.pauses;
    raise("paused");
}

void ConfigKeeper::updateWatch()
{
    const bool wanted = peerView_.isWatcher();
    if (!wanted && watching_) {
        watching_ = false;
        port_.stopWatch();
    } else if (wanted && !watching_ && runtime_.now() >= nextWatch_) {
        watching_ = true;
        ++counters_.watchStarts;
        schedulePoll();
        port_.startWatch();
    }
}

void ConfigKeeper::pollStoreIfDue()
{
    const TimePoint now = runtime_.now();
    const bool contactStale = now - lastPeerContact_ > settings_.isolationLimit / 2 && now - lastStoreContact_ > settings_.isolationLimit / 3;
    if (now < nextPoll_ && !contactStale) {
        return;
    }
    if (now >= nextPoll_) {
        schedulePoll();
    }
    if (pendingStoreRead_ == 0) {
        readStore();
    }
}

void ConfigKeeper::schedulePoll()
{
    const Duration interval = watching_ ? settings_.watcherPollInterval : settings_.pollInterval;
    nextPoll_ = runtime_.now() + randomDuration(interval / 2, interval * 3 / 2);
}

void ConfigKeeper::detectIsolation()
{
    if (isConfirmed() && runtime_.now() - std::max(lastPeerContact_, lastStoreContact_) > settings_.isolationLimit && !peerView_.peers().empty()) {
        ++counters_.isolations;
        raise("silent");
    }
}

void ConfigKeeper::recordContact(TimePoint &last)
{
    last = runtime_.now();
    if (run_.isIn("isolated")) {
        raise("contactRestored");
    }
}

void ConfigKeeper::onPeerVersion(const InstanceId &peer, std::uint64_t version)
{
    detectPause();
    recordContact(lastPeerContact_);
    peerVersions_.update(peer, version, this->version());
    updateBehindState();
    fetchHigher();
}

void ConfigKeeper::onOffer(std::uint64_t number, const InstanceId &peer, bool peerConfirmed, const ConfigCandidate &candidate)
{
    detectPause();
    recordContact(lastPeerContact_);
    processCandidate(candidate);
    confirmation_.onPeerAnswer(number, peer, candidate.version, peerConfirmed);
    if (number == pendingFetch_) {
        runtime_.cancel(fetchTimer_);
        pendingFetch_ = 0;
        peerVersions_.forget(peer);
    } else {
        peerVersions_.update(peer, candidate.version, version());
    }
    evaluateConfirmation();
    updateBehindState();
    fetchHigher();
}

void ConfigKeeper::onStoreAnswer(std::uint64_t number, const ConfigCandidate &candidate)
{
    detectPause();
    recordContact(lastStoreContact_);
    finishStoreRead(number);
    processCandidate(candidate);
    confirmation_.onStoreAnswer(number, candidate.version);
    evaluateConfirmation();
    updateBehindState();
}

void ConfigKeeper::onStoreUnreadable(std::uint64_t number, const std::string &fault)
{
    recordContact(lastStoreContact_);
    unusableFault_ = fault;
    onStoreFailed(number);
}

void ConfigKeeper::onStoreFailed(std::uint64_t number)
{
    ++counters_.storeFailures;
    finishStoreRead(number);
    confirmation_.onStoreFailed(number);
    evaluateConfirmation();
}

void ConfigKeeper::finishStoreRead(std::uint64_t number)
{
    if (number == pendingStoreRead_) {
        pendingStoreRead_ = 0;
    }
}

void ConfigKeeper::onWatchEvent()
{
    detectPause();
    recordContact(lastStoreContact_);
    readStore();
}

void ConfigKeeper::onWatchEnded()
{
    watching_ = false;
    nextWatch_ = runtime_.now() + randomDuration(settings_.watchBackoff / 4, settings_.watchBackoff);
}

void ConfigKeeper::readStore()
{
    ++counters_.storeReads;
    pendingStoreRead_ = ++lastNumber_;
    port_.readStore(pendingStoreRead_);
}

void ConfigKeeper::processCandidate(const ConfigCandidate &candidate)
{
    if (candidate.version <= version()) {
        counters_.ignoredOlder += candidate.configuration != nullptr ? 1 : 0;
        return;
    }
    if (candidate.configuration != nullptr) {
        install(candidate.configuration);
    } else if (!candidate.fault.empty() && peerVersions_.markUnusable(candidate.version)) {
        ++counters_.unusable;
        if (candidate.version > unusableVersion_) {
            unusableVersion_ = candidate.version;
            unusableFault_ = candidate.fault;
        }
        if (onChange_) {
            onChange_(status());
        }
    }
}

void ConfigKeeper::install(const ConfigurationPtr &configuration)
{
    configuration_ = configuration;
    inForceSince_ = runtime_.wallNow();
    ++counters_.installs;
    if (configuration->version > unusableVersion_) {
        unusableFault_.clear();
    }
    port_.install(configuration);
    announce();
    if (onChange_) {
        onChange_(status());
    }
}

void ConfigKeeper::announce()
{
    for (const InstanceId &peer : pickRandomPeers(settings_.announceFanout)) {
        ++counters_.announcements;
        port_.announce(peer, version());
    }
}

void ConfigKeeper::updateBehindState()
{
    peerVersions_.prune(version());
    const bool newerVersionSeen = peerVersions_.highestVersion() != 0;
    if (newerVersionSeen && run_.isIn("current")) {
        raise("newerVersionSeen");
    } else if (!newerVersionSeen && run_.isIn("behind")) {
        raise("caughtUp");
    }
}

void ConfigKeeper::fetchHigher()
{
    if (pendingFetch_ != 0) {
        return;
    }
    const auto peer = peerVersions_.peerWithHighest();
    if (!peer) {
        return;
    }
    pendingFetch_ = ++lastNumber_;
    fetchPeer_ = *peer;
    ++counters_.fetches;
    fetchTimer_ = runtime_.schedule(settings_.fetchTimeout, [this] { fetchTimedOut(); });
    port_.fetch(pendingFetch_, fetchPeer_);
}

void ConfigKeeper::onFetchProgress(std::uint64_t number)
{
    if (number == pendingFetch_) {
        runtime_.cancel(fetchTimer_);
        fetchTimer_ = runtime_.schedule(settings_.fetchTimeout, [this] { fetchTimedOut(); });
    }
}

void ConfigKeeper::onFetchFailed(std::uint64_t number)
{
    if (number == pendingFetch_) {
        runtime_.cancel(fetchTimer_);
        abandonFetch();
    }
}

void ConfigKeeper::fetchTimedOut()
{
    ++counters_.fetchTimeouts;
    abandonFetch();
}

void ConfigKeeper::abandonFetch()
{
    peerVersions_.forget(fetchPeer_);
    pendingFetch_ = 0;
    if (peerVersions_.highestVersion() == 0 && pendingStoreRead_ == 0) {
        readStore();
    }
    updateBehindState();
    fetchHigher();
}

std::vector<InstanceId> ConfigKeeper::pickRandomPeers(std::size_t count)
{
    std::vector<InstanceId> peers = peerView_.peers();
    std::shuffle(peers.begin(), peers.end(), random_);
    peers.resize(std::min(peers.size(), count));
    return peers;
}

Duration ConfigKeeper::randomDuration(Duration min, Duration max)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(min.count(), max.count())(random_));
}

void ConfigKeeper::raise(std::string_view event)
{
    if (run_.handle(event) && onChange_) {
        onChange_(status());
    }
}

} // namespace Burdock
