#include <burdock/routing/serverlimits.h>

#include <burdock/policy/rendezvous.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace Burdock
{

namespace
{

/// The fraction of what a bound allows beyond the limit itself that the saved tokens of all instances may use up together. The rest
/// covers instances that disagree on how many they are.
constexpr double SavedFraction = 0.5;
/// The least limit that is divided: without any request nobody would learn that the limit has ended.
constexpr double MinLimit = 0.25;
/// In this time after the first list of the senders, which may lack many of them, an instance takes a part of its share only.
constexpr Duration SettlingTime = std::chrono::seconds(4);
constexpr double UnsettledDivisor = 3;
/// How long an instance counts that is no longer among the senders: clients cache the directory's answer for up to 15 s.
constexpr Duration SenderMemory = std::chrono::seconds(15);
/// An instance without a share sends a request after this time without an answer, to learn whether the limit has ended; longer by
/// some steps, since many instances may have heard the last answer at the same time.
constexpr Duration MinProbeInterval = std::chrono::seconds(20);
constexpr Duration ProbeStep = std::chrono::seconds(2);
constexpr std::uint64_t ProbeSteps = 32;
/// How long the limit of a server that has left the table is kept.
constexpr Duration RemovedMemory = std::chrono::seconds(60);
/// Less urgent requests are held back for this time after a refusal; then one of this many sends is theirs.
constexpr Duration HoldTime = std::chrono::seconds(1);
constexpr std::uint32_t UrgentSendsPerOther = 7;
/// A limit that was last heard this long ago may have changed: until the server answers, or for as long again, it gets one request.
constexpr Duration FreshTime = std::chrono::milliseconds(500);
/// Added to a time until a token is complete, since tokens are fractions.
constexpr Duration RoundingMargin = std::chrono::milliseconds(1);
/// The longest time to come back that a refusal states.
constexpr Duration MaxWait = std::chrono::seconds(5);
/// The interval of the reports on a server while it names a limit.
constexpr Duration ReportInterval = std::chrono::seconds(4);

double secondsOf(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

LimitTerms LimitTerms::within(double overage, double slack)
{
    LimitTerms terms;
    terms.sharersPerLimit = SavedFraction * overage;
    terms.extraSharers = SavedFraction * slack;
    terms.burstTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(SavedFraction * overage));
    terms.isNamedInAnswers = false;
    return terms;
}

ServerLimits::ServerLimits(InstanceId self, ReportHandler onReport, const LimitTerms &terms)
    : self_(std::move(self))
    , onReport_(std::move(onReport))
    , terms_(terms)
{
}

void ServerLimits::setSenders(const std::vector<InstanceId> &senders, TimePoint now)
{
    const std::set<InstanceId> listed(senders.begin(), senders.end());
    for (auto &[id, until] : senders_) {
        if (listed.count(id) > 0) {
            until.reset();
        } else if (!until) {
            until = now + SenderMemory;
            nextExpiry_ = std::min(nextExpiry_, *until);
        }
    }
    for (const InstanceId &id : senders) {
        sendersVersion_ += senders_.try_emplace(id).second ? 1 : 0;
    }
    if (!senders.empty() && !knownSince_) {
        knownSince_ = now;
    }
    forgetOldSenders(now);
}

void ServerLimits::forgetOldSenders(TimePoint now)
{
    if (now < nextExpiry_) {
        return;
    }
    nextExpiry_ = TimePoint::max();
    for (auto sender = senders_.begin(); sender != senders_.end();) {
        const bool old = sender->second && *sender->second <= now;
        sendersVersion_ += old ? 1 : 0;
        if (!old && sender->second) {
            nextExpiry_ = std::min(nextExpiry_, *sender->second);
        }
        sender = old ? senders_.erase(sender) : std::next(sender);
    }
}

void ServerLimits::forgetRemovedServers(TimePoint now)
{
    for (auto server = servers_.begin(); server != servers_.end();) {
        const bool old = server->second.removedAt && *server->second.removedAt + RemovedMemory <= now;
        server = old ? servers_.erase(server) : std::next(server);
    }
}

void ServerLimits::onListed(const ServerEntry &server)
{
    const auto found = servers_.find(server.id);
    if (found == servers_.end()) {
        return;
    }
    if (found->second.born != server.born) {
        servers_.erase(found);
    } else {
        found->second.removedAt.reset();
    }
}

void ServerLimits::onRemoved(const ServerId &server, TimePoint now)
{
    const auto found = servers_.find(server);
    if (found != servers_.end()) {
        found->second.removedAt = now;
    }
}

void ServerLimits::onAnswer(const ServerEntry &server, std::optional<double> limit, TimePoint now)
{
    const auto found = servers_.find(server.id);
    if (!limit) {
        if (found != servers_.end() && found->second.born == server.born) {
            report(found->second, std::nullopt, now);
            servers_.erase(found);
        }
        return;
    }
    const bool first = found == servers_.end() || found->second.born != server.born;
    if (first) {
        forgetRemovedServers(now);
        Server &added = servers_[server.id] = Server();
        added.born = server.born;
        added.report.server = server.id;
        added.report.service = server.service;
        added.updated = now;
        added.reportedAt = now;
    }
    Server &state = servers_.at(server.id);
    state.heardAt = now;
    if (state.limit != *limit) {
        advance(server.id, state, now);
        state.limit = *limit;
        state.sendersVersion = 0;
    }
    if (first || now - state.reportedAt >= ReportInterval) {
        advance(server.id, state, now);
        report(state, limit, now);
    }
}

void ServerLimits::report(Server &server, std::optional<double> limit, TimePoint now)
{
    server.report.limit = limit;
    server.report.share = server.share;
    server.report.sharers = server.sharers;
    server.report.span = now - std::exchange(server.reportedAt, now);
    onReport_(server.report);
    server.report.sends = 0;
    server.report.repeats = 0;
    server.report.refusals = 0;
}

void ServerLimits::divide(const ServerId &id, Server &server) const
{
    server.sendersVersion = sendersVersion_;
    const double most = std::max(1.0, std::floor(server.limit * terms_.sharersPerLimit + terms_.extraSharers));
    bool shares = senders_.count(self_) > 0;
    server.sharers = senders_.size();
    if (static_cast<double>(server.sharers) > most) {
        server.sharers = static_cast<std::size_t>(most);
        std::vector<InstanceId> ids;
        ids.reserve(senders_.size());
        for (const auto &[sender, until] : senders_) {
            ids.push_back(sender);
        }
        const std::vector<InstanceId> sharers = rendezvousFirst(id.text(), ids, server.sharers);
        shares = std::find(sharers.begin(), sharers.end(), self_) != sharers.end();
    }
    server.share = shares ? terms_.dividedFraction * std::max(server.limit, MinLimit) / static_cast<double>(server.sharers) : 0;
    server.bucket.setCapacity(shares ? std::max(1.0, server.share * secondsOf(terms_.burstTime)) : 0);
}

Duration ServerLimits::probeInterval(const ServerId &server) const
{
    return MinProbeInterval + ProbeStep * static_cast<int>(rendezvousWeight(rendezvousHash(server.text()), rendezvousHash(self_.text())) % ProbeSteps);
}

bool ServerLimits::isSettled(TimePoint now) const
{
    return knownSince_ && now - *knownSince_ >= SettlingTime;
}

void ServerLimits::advance(const ServerId &id, Server &server, TimePoint now)
{
    if (now > server.updated) {
        server.bucket.add(server.share * secondsOf(now - server.updated) / (isSettled(now) ? 1 : UnsettledDivisor));
        server.updated = now;
    }
    forgetOldSenders(now);
    if (server.sendersVersion != sendersVersion_) {
        divide(id, server);
    }
}

bool ServerLimits::isHeldBack(const Server &server, std::int64_t priority, TimePoint now)
{
    return std::any_of(
        server.refusedAt.begin(), server.refusedAt.lower_bound(priority), [now](const auto &refused) { return now - refused.second < HoldTime; });
}

bool ServerLimits::isAnswerAwaited(const Server &server, TimePoint now) const
{
    return terms_.isNamedInAnswers && now - server.heardAt >= FreshTime && server.sentAt > server.heardAt && now - server.sentAt < FreshTime;
}

bool ServerLimits::allows(const ServerId &server, std::int64_t priority, bool repeat, TimePoint now)
{
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return true;
    }
    Server &state = found->second;
    advance(server, state, now);
    if (state.share == 0) {
        return terms_.isNamedInAnswers && !repeat && now - state.heardAt >= probeInterval(server);
    }
    if (state.bucket.tokens() < 1 || isAnswerAwaited(state, now)) {
        return false;
    }
    if (repeat) {
        return !isHeldBack(state, std::numeric_limits<std::int64_t>::max(), now);
    }
    return state.urgentSends >= UrgentSendsPerOther || !isHeldBack(state, priority, now);
}

void ServerLimits::onSent(const ServerId &server, std::int64_t priority, bool repeat, TimePoint now)
{
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    Server &state = found->second;
    state.urgentSends = isHeldBack(state, priority, now) ? 0 : state.urgentSends + 1;
    // The next probe waits for an answer, or as long again.
    state.heardAt = state.share == 0 ? now : state.heardAt;
    state.sentAt = now;
    state.bucket.tryAcquire();
    ++state.report.sends;
    state.report.repeats += repeat ? 1 : 0;
}

Duration ServerLimits::refuse(const std::vector<ServerHandle> &servers, std::int64_t priority, TimePoint now)
{
    Server *earliest = nullptr;
    TimePoint earliestAt = TimePoint::max();
    bool allLimited = true;
    for (const ServerHandle &server : servers) {
        const auto found = servers_.find(server->id);
        allLimited = allLimited && found != servers_.end();
        if (found == servers_.end() || found->second.share == 0) {
            continue;
        }
        Server &state = found->second;
        advance(server->id, state, now);
        state.refusedAt[priority] = now;
        ++state.report.refusals;
        const Duration perToken(static_cast<Duration::rep>(static_cast<double>(Duration(std::chrono::seconds(1)).count()) / state.share));
        const Duration missing(static_cast<Duration::rep>(static_cast<double>(perToken.count()) * std::max(0.0, 1 - state.bucket.tokens())));
        const TimePoint at = std::max(now + missing + RoundingMargin, state.promisedUntil + perToken);
        if (at < earliestAt) {
            earliest = &state;
            earliestAt = at;
        }
    }
    if (earliest == nullptr || !allLimited) {
        return Duration{0};
    }
    earliest->promisedUntil = std::min(earliestAt, now + MaxWait);
    return earliest->promisedUntil - now;
}

} // namespace Burdock
