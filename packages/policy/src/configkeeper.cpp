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

ConfigKeeper::ConfigKeeper(Runtime &runtime, ConfigPort &port, ConfigSettings settings, ConfigNeighbours neighbours, std::uint64_t seed)
    : runtime_(runtime)
    , port_(port)
    , settings_(settings)
    , neighbours_(std::move(neighbours))
    , random_(seed)
    , run_(table(), *this)
    , confirmation_(settings.confirmation, runtime.now(), 0)
{
}

ConfigKeeper::~ConfigKeeper()
{
    runtime_.cancel(fetchTimer_);
    runtime_.cancel(turnTimer_);
}

void ConfigKeeper::start()
{
    const TimePoint now = runtime_.now();
    lastTurn_ = lastPeer_ = lastStore_ = nextWatch_ = now;
    beginConfirmation();
    lookAfterWatch();
    planPoll();
    turnTimer_ = runtime_.schedule(settings_.turn, [this] { turn(); });
}

bool ConfigKeeper::mayAdmit()
{
    notePause();
    return configuration_ != nullptr && confirmed();
}

std::uint64_t ConfigKeeper::version() const
{
    return configuration_ ? configuration_->version : 0;
}

bool ConfigKeeper::confirmed() const
{
    return run_.in("current") || run_.in("behind");
}

const ConfigurationPtr &ConfigKeeper::configuration() const
{
    return configuration_;
}

ConfigStatus ConfigKeeper::status() const
{
    const std::uint64_t heard = std::max({claims_.highest(), version(), unusableVersion_});
    return {run_.state(), version(), inForceSince_, heard, unusableVersion_, unusableFault_, watching_};
}

const ConfigCounters &ConfigKeeper::counters() const
{
    return counters_;
}

void ConfigKeeper::onChange(std::function<void(const ConfigStatus &)> handler)
{
    changed_ = std::move(handler);
}

void ConfigKeeper::beginConfirmation()
{
    confirmation_ = ConfigConfirmation(settings_.confirmation, runtime_.now(), lastNumber_ + 1);
    storeRead_ = 0;
    peersKnown_ = !neighbours_.peers().empty();
    askForConfirmation();
}

void ConfigKeeper::askForConfirmation()
{
    if (storeRead_ == 0 && !confirmation_.hasStore()) {
        readStore();
    }
    for (const InstanceId &peer : drawPeers(settings_.confirmation.peers)) {
        port_.ask(++lastNumber_, peer);
    }
}

void ConfigKeeper::evaluateConfirmation()
{
    const bool known = configuration_ != nullptr || confirmation_.hasStore();
    if (!known || !run_.in("unconfirmed") || !confirmation_.decided(runtime_.now(), neighbours_.peers().size())) {
        return;
    }
    const std::uint64_t accepted = confirmation_.version();
    const bool unusable = accepted <= unusableVersion_ && configuration_ != nullptr;
    if (version() >= accepted || unusable) {
        raise("confirmed");
        updateStanding();
    }
}

void ConfigKeeper::turn()
{
    notePause();
    lastTurn_ = runtime_.now();
    lookAfterWatch();
    lookAfterStore();
    lookForSilence();
    if (run_.in("unconfirmed")) {
        // The patience with peers begins when the first of them is known.
        if (peersKnown_ || neighbours_.peers().empty()) {
            askForConfirmation();
        } else {
            beginConfirmation();
        }
        evaluateConfirmation();
    }
    turnTimer_ = runtime_.schedule(settings_.turn, [this] { turn(); });
}

void ConfigKeeper::notePause()
{
    const TimePoint now = runtime_.now();
    if (now - lastTurn_ <= settings_.pauseLimit) {
        return;
    }
    lastTurn_ = lastPeer_ = lastStore_ = now;
    ++counters_.pauses;
    raise("paused");
}

void ConfigKeeper::lookAfterWatch()
{
    const bool wanted = neighbours_.watches();
    if (!wanted && watching_) {
        watching_ = false;
        port_.stopWatch();
    } else if (wanted && !watching_ && runtime_.now() >= nextWatch_) {
        watching_ = true;
        ++counters_.watchStarts;
        planPoll();
        port_.startWatch();
    }
}

void ConfigKeeper::lookAfterStore()
{
    const TimePoint now = runtime_.now();
    const bool lonely = now - lastPeer_ > settings_.isolationLimit / 2 && now - lastStore_ > settings_.isolationLimit / 3;
    if (now < nextPoll_ && !lonely) {
        return;
    }
    if (now >= nextPoll_) {
        planPoll();
    }
    if (storeRead_ == 0) {
        readStore();
    }
}

void ConfigKeeper::planPoll()
{
    const Duration interval = watching_ ? settings_.watcherPollInterval : settings_.pollInterval;
    nextPoll_ = runtime_.now() + draw(interval / 2, interval * 3 / 2);
}

void ConfigKeeper::lookForSilence()
{
    if (confirmed() && runtime_.now() - std::max(lastPeer_, lastStore_) > settings_.isolationLimit && !neighbours_.peers().empty()) {
        ++counters_.isolations;
        raise("silent");
    }
}

void ConfigKeeper::heardOf(TimePoint &last)
{
    last = runtime_.now();
    if (run_.in("isolated")) {
        raise("contact");
    }
}

void ConfigKeeper::peerTold(const InstanceId &peer, std::uint64_t version)
{
    notePause();
    heardOf(lastPeer_);
    claims_.told(peer, version, this->version());
    updateStanding();
    fetchHigher();
}

void ConfigKeeper::offered(std::uint64_t number, const InstanceId &peer, bool peerConfirmed, const ConfigCandidate &candidate)
{
    notePause();
    heardOf(lastPeer_);
    consider(candidate);
    confirmation_.peerAnswered(number, peer, candidate.version, peerConfirmed);
    if (number == fetch_) {
        runtime_.cancel(fetchTimer_);
        fetch_ = 0;
        claims_.forget(peer);
    } else {
        claims_.told(peer, candidate.version, version());
    }
    evaluateConfirmation();
    updateStanding();
    fetchHigher();
}

void ConfigKeeper::storeAnswered(std::uint64_t number, const ConfigCandidate &candidate)
{
    notePause();
    heardOf(lastStore_);
    storeReadEnded(number);
    consider(candidate);
    confirmation_.storeAnswered(number, candidate.version);
    evaluateConfirmation();
    updateStanding();
}

void ConfigKeeper::storeUnreadable(std::uint64_t number, const std::string &fault)
{
    heardOf(lastStore_);
    unusableFault_ = fault;
    storeFailed(number);
}

void ConfigKeeper::storeFailed(std::uint64_t number)
{
    ++counters_.storeFailures;
    storeReadEnded(number);
    confirmation_.storeFailed(number);
    evaluateConfirmation();
}

void ConfigKeeper::storeReadEnded(std::uint64_t number)
{
    if (number == storeRead_) {
        storeRead_ = 0;
    }
}

void ConfigKeeper::watchTold()
{
    notePause();
    heardOf(lastStore_);
    readStore();
}

void ConfigKeeper::watchEnded()
{
    watching_ = false;
    nextWatch_ = runtime_.now() + draw(settings_.watchBackoff / 4, settings_.watchBackoff);
}

void ConfigKeeper::readStore()
{
    ++counters_.storeReads;
    storeRead_ = ++lastNumber_;
    port_.readStore(storeRead_);
}

void ConfigKeeper::consider(const ConfigCandidate &candidate)
{
    if (candidate.version <= version()) {
        counters_.leftOlder += candidate.configuration != nullptr ? 1 : 0;
        return;
    }
    if (candidate.configuration != nullptr) {
        install(candidate.configuration);
    } else if (!candidate.fault.empty() && claims_.markUnusable(candidate.version)) {
        ++counters_.unusable;
        if (candidate.version > unusableVersion_) {
            unusableVersion_ = candidate.version;
            unusableFault_ = candidate.fault;
        }
        if (changed_) {
            changed_(status());
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
    if (changed_) {
        changed_(status());
    }
}

void ConfigKeeper::announce()
{
    for (const InstanceId &peer : drawPeers(settings_.announceFanout)) {
        ++counters_.announcements;
        port_.announce(peer, version());
    }
}

void ConfigKeeper::updateStanding()
{
    claims_.prune(version());
    const bool higher = claims_.highest() != 0;
    if (higher && run_.in("current")) {
        raise("higher");
    } else if (!higher && run_.in("behind")) {
        raise("caughtUp");
    }
}

void ConfigKeeper::fetchHigher()
{
    if (fetch_ != 0) {
        return;
    }
    const auto peer = claims_.best();
    if (!peer) {
        return;
    }
    fetch_ = ++lastNumber_;
    fetchedFrom_ = *peer;
    ++counters_.fetches;
    fetchTimer_ = runtime_.schedule(settings_.fetchTimeout, [this] { fetchTimedOut(); });
    port_.fetch(fetch_, fetchedFrom_);
}

void ConfigKeeper::fetchGoesOn(std::uint64_t number)
{
    if (number == fetch_) {
        runtime_.cancel(fetchTimer_);
        fetchTimer_ = runtime_.schedule(settings_.fetchTimeout, [this] { fetchTimedOut(); });
    }
}

void ConfigKeeper::fetchFailed(std::uint64_t number)
{
    if (number == fetch_) {
        runtime_.cancel(fetchTimer_);
        giveUpFetch();
    }
}

void ConfigKeeper::fetchTimedOut()
{
    ++counters_.fetchTimeouts;
    giveUpFetch();
}

void ConfigKeeper::giveUpFetch()
{
    claims_.forget(fetchedFrom_);
    fetch_ = 0;
    if (claims_.highest() == 0 && storeRead_ == 0) {
        readStore();
    }
    updateStanding();
    fetchHigher();
}

std::vector<InstanceId> ConfigKeeper::drawPeers(std::size_t count)
{
    std::vector<InstanceId> peers = neighbours_.peers();
    std::shuffle(peers.begin(), peers.end(), random_);
    peers.resize(std::min(peers.size(), count));
    return peers;
}

Duration ConfigKeeper::draw(Duration least, Duration most)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(least.count(), most.count())(random_));
}

void ConfigKeeper::raise(std::string_view event)
{
    if (run_.handle(event) && changed_) {
        changed_(status());
    }
}

} // namespace Burdock
