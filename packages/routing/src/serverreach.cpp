#include <burdock/routing/serverreach.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace Burdock
{

namespace
{

/// The distinct servers and services that must have failed or been silent. An instance that knows fewer servers needs all of them.
constexpr std::size_t MinServers = 5;
constexpr std::size_t MinServersOfFew = 2;
constexpr std::size_t MinServices = 2;
/// Broken connections alone may have been reset by the network while new ones can be made. A request that crashes servers breaks off
/// two more after the first ones.
constexpr std::size_t MinNotConnectedOrSilent = 2;
constexpr std::size_t MinBrokenAgain = 3;
/// The trials that must have failed where servers failed rather than were silent.
constexpr std::size_t MinFailedTrials = 2;
/// A server is silent no earlier than this after the attempt, and silence is evidence no earlier than this after the last response.
constexpr Duration MinOverdue = std::chrono::milliseconds(100);
constexpr Duration MinSilence = std::chrono::milliseconds(150);
/// The interval at which silence is judged. A round that is later than the slack is repeated after the delay, by when waiting
/// responses have been read. If it is much later, the instance was suspended.
constexpr Duration RoundInterval = std::chrono::milliseconds(50);
constexpr Duration LateSlack = std::chrono::milliseconds(25);
constexpr Duration LateDelay = std::chrono::milliseconds(5);
constexpr Duration MinSuspension = std::chrono::milliseconds(300);
/// The servers that could not be connected to, and the time for which they count.
constexpr std::size_t MinNotConnected = 2;
constexpr Duration NotConnectedTime = std::chrono::seconds(1);
/// How long servers must have been reached before clients are directed here again.
constexpr Duration StableTime = std::chrono::seconds(1);

} // namespace

ReachOutcome reachOutcomeOf(const Failure &failure)
{
    switch (failure.code) {
    case Errc::Unavailable:
        return ReachOutcome::NotConnected;
    case Errc::ConnectionLost:
        return ReachOutcome::Broken;
    case Errc::Overloaded:
    case Errc::NotFound:
        return ReachOutcome::Response;
    default:
        return ReachOutcome::NoResponse;
    }
}

ServerReach::ServerReach(Runtime &runtime, const ServerTable &servers, ChangeHandler onChanged, std::function<bool()> onSuspected)
    : runtime_(runtime)
    , servers_(servers)
    , onChanged_(std::move(onChanged))
    , onSuspected_(std::move(onSuspected))
    , lastResponse_(runtime.now())
{
}

ServerReach::~ServerReach()
{
    runtime_.cancel(roundTimer_);
    runtime_.cancel(notifyTimer_);
}

ServerReach::AttemptId ServerReach::onSent(const ServerEntry &server, Duration overdueAfter, bool trial)
{
    const AttemptId id = ++lastAttempt_;
    open_.emplace(id, Attempt{server.id, server.service, runtime_.now() + std::max(overdueAfter, MinOverdue), trial});
    startRounds(RoundInterval);
    return id;
}

void ServerReach::onEnded(AttemptId attempt, ReachOutcome outcome)
{
    const TimePoint now = runtime_.now();
    const auto node = open_.extract(attempt);
    if (outcome == ReachOutcome::Response) {
        return onResponse(now);
    }
    if (node.empty()) {
        return;
    }
    const Attempt &ended = node.mapped();
    if (outcome == ReachOutcome::NotConnected) {
        noteNotConnected(ended.server, now);
    }
    const bool early = outcome == ReachOutcome::NoResponse && now < ended.overdueAt;
    if (early || node.key() < firstSinceResponse_) {
        return;
    }
    failedTrials_ += ended.trial ? 1 : 0;
    const bool broken = outcome == ReachOutcome::Broken;
    const bool brokenAgain = broken && firstSinceBreak_ && node.key() >= *firstSinceBreak_;
    failed_.try_emplace(ended.server, FailedServer{ended.service, outcome, lastAttempt_ + 1, brokenAgain});
    if (broken && !firstSinceBreak_) {
        firstSinceBreak_ = lastAttempt_ + 1;
    }
    judge();
}

void ServerReach::onResponse(TimePoint now)
{
    const Duration sinceResponse = now - std::exchange(lastResponse_, now);
    forgetEvidence();
    if (cutOff_) {
        reachedAt_ = now;
        setCutOff(false, {false, 0, sinceResponse, "", now - cutOffAt_});
    }
}

void ServerReach::assumeReached()
{
    if (cutOff_) {
        onResponse(runtime_.now());
    }
}

void ServerReach::forgetEvidence()
{
    firstSinceResponse_ = lastAttempt_ + 1;
    firstSinceBreak_.reset();
    failed_.clear();
    failedTrials_ = 0;
}

void ServerReach::startRounds(Duration delay)
{
    if (roundTimer_ == 0) {
        roundDue_ = runtime_.now() + delay;
        roundTimer_ = runtime_.schedule(delay, [this] { onRound(); });
    }
}

void ServerReach::onRound()
{
    roundTimer_ = 0;
    // After a late round, the next one is good whenever it comes: what had arrived was read before it.
    late_ = !late_ && isRoundLate(runtime_.now());
    if (runtime_.now() - roundDue_ >= MinSuspension) {
        forgetEvidence();
    }
    const bool awaitsTrials = judge();
    if (late_ || awaitsTrials || open_.lower_bound(firstSinceResponse_) != open_.end()) {
        startRounds(late_ ? LateDelay : RoundInterval);
    }
}

bool ServerReach::isRoundLate(TimePoint now) const
{
    return now > roundDue_ + LateSlack;
}

ServerReach::Evidence ServerReach::evidence(TimePoint now) const
{
    Evidence found;
    found.failedTrials = failedTrials_;
    AttemptId firstUndecided = lastAttempt_ + 1;
    for (auto attempt = open_.lower_bound(firstSinceResponse_); attempt != open_.end(); ++attempt) {
        if (attempt->second.overdueAt <= now) {
            found.silent.emplace(attempt->second.server, attempt->second.service);
            found.failedTrials += attempt->second.trial ? 1 : 0;
        } else {
            found.undecidedTrials += attempt->second.trial ? 1 : 0;
            firstUndecided = std::min(firstUndecided, attempt->first);
        }
    }
    for (const auto &[server, failure] : failed_) {
        if (failure.outcome == ReachOutcome::NoResponse) {
            found.silent.emplace(server, failure.service);
        } else if (failure.nextAttempt <= firstUndecided) {
            // An attempt that was in flight at the failure may still be answered, and only that server be down.
            found.failed.emplace(server, failure.service);
            found.notConnected += failure.outcome == ReachOutcome::NotConnected ? 1 : 0;
            found.brokenAgain += failure.brokenAgain ? 1 : 0;
        }
    }
    return found;
}

std::size_t ServerReach::Evidence::servers() const
{
    const auto isOther = [this](const auto &each) { return silent.count(each.first) == 0; };
    return silent.size() + static_cast<std::size_t>(std::count_if(failed.begin(), failed.end(), isOther));
}

std::size_t ServerReach::Evidence::services() const
{
    std::set<ServiceName> services;
    for (const auto *each : {&silent, &failed}) {
        for (const auto &[server, service] : *each) {
            services.insert(service);
        }
    }
    return services.size();
}

bool ServerReach::isEnough(const Evidence &evidence) const
{
    const ServerTable::Counts known = servers_.usableCounts();
    return evidence.servers() >= std::clamp(known.servers, MinServersOfFew, MinServers) && evidence.services() >= std::min(known.services, MinServices)
        && (evidence.silent.size() + evidence.notConnected >= MinNotConnectedOrSilent || evidence.brokenAgain >= MinBrokenAgain);
}

bool ServerReach::judge()
{
    const TimePoint now = runtime_.now();
    if (cutOff_ || late_ || (roundTimer_ != 0 && isRoundLate(now)) || open_.size() + failed_.size() < MinServersOfFew) {
        return false;
    }
    const Evidence found = evidence(now);
    const Duration sinceResponse = now - lastResponse_;
    const bool silentLongEnough = found.silent.empty() || sinceResponse >= MinSilence;
    const bool enough = isEnough(found) && silentLongEnough;
    // Servers that fail may have crashed together, and others be about to respond.
    const bool confirmed = found.silent.size() >= MinServers || (found.failedTrials >= MinFailedTrials && found.undecidedTrials == 0);
    const bool suspected = enough ? !confirmed : found.servers() >= MinServersOfFew && sinceResponse >= MinSilence;
    const bool awaitsTrials = suspected && onSuspected_();
    if (enough && !awaitsTrials) {
        cutOffAt_ = now;
        setCutOff(true, {true, found.servers(), sinceResponse, found.silent.size() * 2 >= found.servers() ? "silent" : "failed", Duration{0}});
    }
    return awaitsTrials;
}

void ServerReach::setCutOff(bool cutOff, ReachChange change)
{
    cutOff_ = cutOff;
    change_ = change;
    if (notifyTimer_ == 0) {
        // The caller may be in the middle of a request.
        notifyTimer_ = runtime_.schedule(Duration{0}, [this] { notify(); });
    }
}

void ServerReach::notify()
{
    notifyTimer_ = 0;
    if (std::exchange(notified_, cutOff_) != cutOff_) {
        onChanged_(change_);
    }
}

void ServerReach::noteNotConnected(const ServerId &server, TimePoint now)
{
    for (auto each = notConnectedAt_.begin(); each != notConnectedAt_.end();) {
        each = now - each->second < NotConnectedTime ? std::next(each) : notConnectedAt_.erase(each);
    }
    notConnectedAt_[server] = now;
}

bool ServerReach::isImpaired(TimePoint now) const
{
    const auto isRecent = [now](const auto &entry) { return now - entry.second < NotConnectedTime; };
    return static_cast<std::size_t>(std::count_if(notConnectedAt_.begin(), notConnectedAt_.end(), isRecent)) >= MinNotConnected;
}

bool ServerReach::isUnstable(TimePoint now) const
{
    return cutOff_ || (reachedAt_ && now - *reachedAt_ < StableTime);
}

bool ServerReach::wasCutOffSince(TimePoint from) const
{
    return cutOff_ || (reachedAt_ && from <= *reachedAt_);
}

} // namespace Burdock
