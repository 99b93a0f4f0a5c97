#include <burdock/policy/backendlife.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Burdock
{

namespace
{

/// Peers whose reports on one server are kept. Only its holders report, and views differ for short times only.
constexpr std::size_t MaxPeerMarks = 8;

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
    settle();
}

BackendLife::~BackendLife()
{
    runtime_.cancel(expiry_);
}

void BackendLife::listed(const ListedServer &server)
{
    if (server.address != address_) {
        address_ = server.address;
        ownMark_.reset();
        peerMarks_.clear();
        nextHold_ = settings_.hold;
    }
    listedLeaving_ = server.leaving;
    if (run_.in("gone")) {
        run_.handle("listed");
    }
    settle();
}

void BackendLife::unlisted()
{
    if (!run_.in("gone")) {
        run_.handle("unlisted");
    }
    settle();
}

void BackendLife::replied(bool draining, TimePoint dispatched)
{
    const bool afterDoubt = run_.in("suspected") && dispatched >= suspectedSince_;
    if (draining) {
        nextHold_ = afterDoubt ? std::min(2 * nextHold_, settings_.longestHold) : nextHold_;
        ownMark_ = runtime_.now() + nextHold_;
    } else if (afterDoubt) {
        run_.handle("confirmed");
        nextHold_ = settings_.hold;
        doubtsFrom_ = runtime_.now() + settings_.doubtPause;
    }
    settle();
}

void BackendLife::reported(const InstanceId &peer, bool draining)
{
    if (draining) {
        peerMarks_[peer] = runtime_.now() + settings_.hold;
        dropOldestPeer();
    } else {
        peerMarks_.erase(peer);
    }
    settle();
}

void BackendLife::healthHint(bool draining)
{
    if (draining && run_.in("active") && runtime_.now() >= doubtsFrom_) {
        run_.handle("doubted");
    }
    settle();
}

bool BackendLife::mayGetWork() const
{
    if (run_.in("suspected")) {
        return !trial_ || runtime_.now() >= *trial_ + settings_.trialInterval;
    }
    return run_.in("active");
}

void BackendLife::dispatched()
{
    if (run_.in("suspected")) {
        trial_ = runtime_.now();
    }
}

BackendState BackendLife::state() const
{
    const auto found = std::find(StateNames.begin(), StateNames.end(), run_.state());
    return static_cast<BackendState>(found - StateNames.begin());
}

std::uint32_t BackendLife::refusedEvents() const
{
    return run_.refused();
}

void BackendLife::startTrials()
{
    trial_.reset();
    suspectedSince_ = runtime_.now();
}

void BackendLife::settle()
{
    dropOldMarks();
    const bool working = run_.in("active") || run_.in("suspected");
    if (working && believedLeaving()) {
        run_.handle("leaving");
    } else if (run_.in("draining") && !believedLeaving()) {
        run_.handle("cleared");
    }
    scheduleExpiry();
    if (announced_ != state()) {
        announced_ = state();
        changed_(announced_);
    }
}

bool BackendLife::believedLeaving() const
{
    return listedLeaving_ || ownMark_ || !peerMarks_.empty();
}

void BackendLife::dropOldMarks()
{
    const TimePoint now = runtime_.now();
    if (ownMark_ && *ownMark_ <= now) {
        ownMark_.reset();
    }
    for (auto mark = peerMarks_.begin(); mark != peerMarks_.end();) {
        mark = mark->second <= now ? peerMarks_.erase(mark) : std::next(mark);
    }
}

void BackendLife::scheduleExpiry()
{
    if (expiry_ != 0) {
        runtime_.cancel(expiry_);
        expiry_ = 0;
    }
    std::optional<TimePoint> next = ownMark_;
    for (const auto &[peer, mark] : peerMarks_) {
        next = next ? std::min(*next, mark) : mark;
    }
    if (next) {
        expiry_ = runtime_.schedule(*next - runtime_.now(), [this] { settle(); });
    }
}

void BackendLife::dropOldestPeer()
{
    if (peerMarks_.size() > MaxPeerMarks) {
        peerMarks_.erase(std::min_element(peerMarks_.begin(), peerMarks_.end(), [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
}

} // namespace Burdock
