#include <burdock/policy/backendlife.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Burdock
{

namespace
{

/// Maximum number of peers whose reports about one server are kept. Only its holders report, and views of who holds
/// it differ only briefly.
constexpr std::size_t MaxPeerReports = 8;

constexpr std::array<std::string_view, 4> StateNames{"active", "suspected", "draining", "gone"};

} // namespace

std::string_view backendStateName(BackendState state)
{
    return StateNames[static_cast<std::size_t>(state)];
}

const ChartTable<BackendLife> &BackendLife::table()
{
    static const ChartTable<BackendLife> table(chartNamed("backendserver"), {{"startTrials", &BackendLife::startTrials}});
    return table;
}

BackendLife::BackendLife(Runtime &runtime, const BackendLifeSettings &settings, const ListedServer &server, ChangeHandler changed)
    : runtime_(runtime)
    , settings_(settings)
    , changed_(std::move(changed))
    , run_(table(), *this)
    , address_(server.address)
    , listedLeaving_(server.leaving)
    , nextHold_(settings.hold)
{
    updateState();
}

BackendLife::~BackendLife()
{
    runtime_.cancel(expiry_);
}

void BackendLife::onListed(const ListedServer &server)
{
    if (server.address != address_) {
        address_ = server.address;
        ownDrainingUntil_.reset();
        peerDrainingUntil_.clear();
        nextHold_ = settings_.hold;
    }
    listedLeaving_ = server.leaving;
    if (run_.isIn("gone")) {
        run_.handle("listed");
    }
    updateState();
}

void BackendLife::onUnlisted()
{
    if (!run_.isIn("gone")) {
        run_.handle("unlisted");
    }
    updateState();
}

void BackendLife::onReply(bool draining, TimePoint dispatched)
{
    const bool isTrialReply = run_.isIn("suspected") && dispatched >= suspectedSince_;
    if (draining) {
        nextHold_ = isTrialReply ? std::min(2 * nextHold_, settings_.maxHold) : nextHold_;
        ownDrainingUntil_ = runtime_.now() + nextHold_;
    } else if (isTrialReply) {
        run_.handle("confirmed");
        nextHold_ = settings_.hold;
        healthIgnoredUntil_ = runtime_.now() + settings_.healthIgnoreTime;
    }
    updateState();
}

void BackendLife::onPeerReport(const InstanceId &peer, bool draining)
{
    if (draining) {
        peerDrainingUntil_[peer] = runtime_.now() + settings_.hold;
        removeOldestPeerReport();
    } else {
        peerDrainingUntil_.erase(peer);
    }
    updateState();
}

void BackendLife::onHealthStatus(bool draining)
{
    if (draining && run_.isIn("active") && runtime_.now() >= healthIgnoredUntil_) {
        run_.handle("unhealthy");
    }
    updateState();
}

bool BackendLife::acceptsWork() const
{
    if (run_.isIn("suspected")) {
        return !trialStarted_ || runtime_.now() >= *trialStarted_ + settings_.trialTimeout;
    }
    return run_.isIn("active");
}

void BackendLife::onDispatched()
{
    if (run_.isIn("suspected")) {
        trialStarted_ = runtime_.now();
    }
}

BackendState BackendLife::state() const
{
    const auto found = std::find(StateNames.begin(), StateNames.end(), run_.state());
    return static_cast<BackendState>(found - StateNames.begin());
}

std::uint32_t BackendLife::refusedEvents() const
{
    return run_.refusedCount();
}

void BackendLife::startTrials()
{
    trialStarted_.reset();
    suspectedSince_ = runtime_.now();
}

void BackendLife::updateState()
{
    removeExpiredSignals();
    const bool receivingWork = run_.isIn("active") || run_.isIn("suspected");
    if (receivingWork && hasDrainingSignal()) {
        run_.handle("leaving");
    } else if (run_.isIn("draining") && !hasDrainingSignal()) {
        run_.handle("signalsCleared");
    }
    scheduleExpiry();
    if (reportedState_ != state()) {
        reportedState_ = state();
        changed_(reportedState_);
    }
}

bool BackendLife::hasDrainingSignal() const
{
    return listedLeaving_ || ownDrainingUntil_ || !peerDrainingUntil_.empty();
}

void BackendLife::removeExpiredSignals()
{
    const TimePoint now = runtime_.now();
    if (ownDrainingUntil_ && *ownDrainingUntil_ <= now) {
        ownDrainingUntil_.reset();
    }
    for (auto entry = peerDrainingUntil_.begin(); entry != peerDrainingUntil_.end();) {
        entry = entry->second <= now ? peerDrainingUntil_.erase(entry) : std::next(entry);
    }
}

void BackendLife::scheduleExpiry()
{
    if (expiry_ != 0) {
        runtime_.cancel(expiry_);
        expiry_ = 0;
    }
    std::optional<TimePoint> next = ownDrainingUntil_;
    for (const auto &[peer, entry] : peerDrainingUntil_) {
        next = next ? std::min(*next, entry) : entry;
    }
    if (next) {
        expiry_ = runtime_.schedule(*next - runtime_.now(), [this] { updateState(); });
    }
}

void BackendLife::removeOldestPeerReport()
{
    if (peerDrainingUntil_.size() > MaxPeerReports) {
        peerDrainingUntil_.erase(
            std::min_element(peerDrainingUntil_.begin(), peerDrainingUntil_.end(), [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
}

} // namespace Burdock
