#include <burdock/routing/sharedrates.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Burdock
{

namespace
{

/// The interval of the messages to the holder. A loan outlives the loss of one of them.
constexpr Duration AskInterval = std::chrono::milliseconds(300);
/// The interval varies by this fraction either way, so that no instance is always the last to ask.
constexpr double IntervalJitter = 0.1;
/// Tokens are asked for the requests that are expected in this time.
constexpr Duration StockTime = std::chrono::milliseconds(400);
constexpr double RoundingHalf = 0.5;
/// Where no token can be kept and this many requests or more are expected, further tokens are asked for, in standard deviations.
constexpr double SteadyRequests = 0.75;
constexpr double SafetyFactor = 0.8;
constexpr double SafetyOffset = 0.2;
/// Requests that come in this time share a message.
constexpr Duration AskDelay = std::chrono::milliseconds(1);
constexpr std::size_t MaxAsksInFlight = 8;
constexpr int MaxFailures = 2;
constexpr Duration MinAvoidance = std::chrono::seconds(3);
constexpr Duration MaxAvoidance = std::chrono::seconds(60);
/// The time over which demand is smoothed, and the requests a second below which there is none.
constexpr double DemandSeconds = 1;
constexpr double MinDemand = 0.02;
/// A holder with this part of all rates is in touch with most senders.
constexpr double MostParts = 0.5;
constexpr Duration MinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration MaxRetryAfter = std::chrono::seconds(5);
constexpr Duration ReportInterval = std::chrono::seconds(4);
/// Tokens are sums of fractions.
constexpr double RoundingMargin = 1e-9;

double secondsOf(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

SharedRates::SharedRates(Runtime &runtime,
                         const InstanceId &self,
                         const RateAllowance &allowance,
                         std::uint64_t life,
                         Send send,
                         std::function<TimePoint()> confirmedAt,
                         ReportHandler onReport,
                         HolderHandler onHolder)
    : runtime_(runtime)
    , self_(self)
    , allowance_(allowance)
    , send_(std::move(send))
    , confirmedAt_(std::move(confirmedAt))
    , onReport_(std::move(onReport))
    , onHolder_(std::move(onHolder))
    , ownHolder_(life, allowance)
    , ownPart_(self)
    , lentUntil_(now() + RateLoanTerm)
    , advancedTo_(now())
    , random_(life)
{
}

SharedRates::~SharedRates()
{
    *alive_ = false;
    runtime_.cancel(intervalTimer_);
    runtime_.cancel(askTimer_);
    runtime_.cancel(waitTimer_);
}

TimePoint SharedRates::now() const
{
    return runtime_.now() + runtime_.suspended();
}

void SharedRates::setTerms(const std::map<std::string, RateTerms> &terms)
{
    const TimePoint now = this->now();
    std::map<std::string, RateTerms> limited;
    std::copy_if(terms.begin(), terms.end(), std::inserter(limited, limited.end()), [](const auto &entry) { return entry.second.isLimited(); });
    advance(now);
    ownHolder_.setTerms(limited, now);
    for (const auto &[name, rate] : limited) {
        applyTerms(name, limits_[name], rate);
    }
    for (auto limit = limits_.begin(); limit != limits_.end();) {
        if (limited.count(limit->first) > 0) {
            ++limit;
            continue;
        }
        released_.splice(released_.end(), limit->second.waiting);
        limit = limits_.erase(limit);
    }
    if (limits_.empty()) {
        runtime_.cancel(std::exchange(intervalTimer_, 0));
        runtime_.cancel(std::exchange(askTimer_, 0));
    } else if (intervalTimer_ == 0) {
        scheduleInterval();
    }
    while (!released_.empty()) {
        const Callback done = std::move(released_.front().done);
        released_.pop_front();
        done(RateDecision{});
    }
}

void SharedRates::applyTerms(const std::string &name, Limit &limit, const RateTerms &terms)
{
    settle(limit);
    if (limit.report.name.empty()) {
        limit.keptFrom = advancedTo_ + allowance_.window;
    }
    limit.terms = terms;
    limit.savings = rateSavings(terms, allowance_, ownPart_.senders());
    limit.report.name = name;
    limit.report.terms = terms;
    settle(limit);
}

void SharedRates::setInstances(const std::vector<InstanceId> &senders, std::vector<InstanceId> holders)
{
    const TimePoint now = this->now();
    advance(now);
    const std::size_t before = ownPart_.senders();
    ownPart_.setSenders(senders, now);
    ownHolder_.setSenders(ownPart_.senders(), now);
    if (ownPart_.senders() != before) {
        for (auto &[name, limit] : limits_) {
            applyTerms(name, limit, limit.terms);
        }
    }
    holders_ = std::move(holders);
    if (!limits_.empty()) {
        chooseHolder(now, "instances changed");
    }
}

double SharedRates::pooled()
{
    return ownHolder_.pooled(now());
}

RateReply SharedRates::onAsk(const RateAsk &ask)
{
    return ownHolder_.onAsk(ask, now());
}

bool SharedRates::isLent(TimePoint now) const
{
    return now < lentUntil_;
}

void SharedRates::advance(TimePoint now)
{
    if (now <= advancedTo_) {
        return;
    }
    part_ = ownPart_.part(now);
    const TimePoint from = std::max(advancedTo_, lentUntil_);
    if (now > from) {
        earned_ += part_ * secondsOf(now - from);
    }
    advancedTo_ = now;
}

void SharedRates::settle(Limit &limit) const
{
    const double kept = keptTokens(limit);
    if (kept > 0 && limit.keptFrom && *limit.keptFrom <= advancedTo_) {
        limit.own = std::max(limit.own, kept);
        limit.keptFrom.reset();
    }
    const double capacity = isLent(advancedTo_) ? kept : std::max(kept, limit.savings.capacity * part_);
    limit.own = std::min(limit.own + limit.terms.perSecond * (earned_ - limit.counted), capacity);
    limit.counted = earned_;
}

double SharedRates::keptTokens(const Limit &limit) const
{
    return limit.savings.keepsToken && part_ > 0 ? 1 : 0;
}

void SharedRates::settleAll()
{
    for (auto &[name, limit] : limits_) {
        settle(limit);
    }
}

double SharedRates::demandOf(const Limit &limit, TimePoint now)
{
    return limit.demand * std::exp(-secondsOf(now - limit.demandAt) / DemandSeconds);
}

void SharedRates::countDemand(Limit &limit, TimePoint now)
{
    limit.demand = demandOf(limit, now) + 1 / DemandSeconds;
    limit.demandAt = now;
}

std::uint32_t SharedRates::stockOf(Limit &limit, TimePoint now)
{
    std::uint32_t tokens = 0;
    for (auto stock = limit.stocks.begin(); stock != limit.stocks.end();) {
        if (stock->until <= now) {
            limit.report.expired += stock->tokens;
            stock = limit.stocks.erase(stock);
        } else {
            tokens += stock->tokens;
            ++stock;
        }
    }
    return tokens;
}

std::uint32_t SharedRates::wantedOf(Limit &limit, TimePoint now) const
{
    const double demand = demandOf(limit, now);
    if (limit.waiting.empty() && demand < MinDemand) {
        return 0;
    }
    settle(limit);
    const double mean = demand * secondsOf(StockTime);
    const double kept = limit.own < 1 - RoundingMargin ? keptTokens(limit) : 0;
    const bool isSteady = mean >= SteadyRequests && keptTokens(limit) == 0;
    const double expected = std::floor(mean + (isSteady ? SafetyFactor * std::sqrt(mean) + SafetyOffset : RoundingHalf));
    const double wanted = static_cast<double>(limit.waiting.size()) + expected + kept - stockOf(limit, now) - limit.incoming;
    return static_cast<std::uint32_t>(std::clamp(wanted, 0.0, std::ceil(limit.savings.capacity)));
}

std::vector<RateWant> SharedRates::wants(TimePoint now)
{
    std::vector<RateWant> wanted;
    for (auto &[name, limit] : limits_) {
        const std::uint32_t tokens = wantedOf(limit, now);
        if (tokens > 0) {
            wanted.push_back({name, tokens});
        }
    }
    return wanted;
}

std::optional<RateDecision> SharedRates::tryTake(Limit &limit, TimePoint now) const
{
    if (stockOf(limit, now) > 0) {
        const auto first = std::min_element(limit.stocks.begin(), limit.stocks.end(), [](const Stock &a, const Stock &b) { return a.until < b.until; });
        const RateDecision decision{true, Duration{0}, first->until};
        if (--first->tokens == 0) {
            limit.stocks.erase(first);
        }
        return decision;
    }
    settle(limit);
    if (limit.own < 1 - RoundingMargin) {
        return std::nullopt;
    }
    limit.own = std::max(0.0, limit.own - 1);
    return RateDecision{true, Duration{0}, now + RateTokenTerm};
}

RateDecision SharedRates::admit(Limit &limit, const RateDecision &decision)
{
    ++counters_.admitted;
    ++limit.report.admitted;
    return decision;
}

RateDecision SharedRates::refuse(Limit &limit, TimePoint now)
{
    ++counters_.refused;
    ++limit.report.refused;
    const TimePoint next = std::max(limit.promisedUntil + durationOf(1 / limit.terms.perSecond), now + MinRetryAfter);
    limit.promisedUntil = std::min(next, now + MaxRetryAfter);
    return {false, limit.promisedUntil - now, {}};
}

RateRequestId SharedRates::acquire(const std::string &name, const RateTerms &terms, std::int64_t priority, Duration maxWait, Callback done)
{
    if (!terms.isLimited()) {
        done(RateDecision{});
        return 0;
    }
    const TimePoint now = this->now();
    advance(now);
    if (intervalTimer_ == 0) {
        scheduleInterval();
    }
    const auto [found, added] = limits_.try_emplace(name);
    Limit &limit = found->second;
    if (added || limit.terms != terms) {
        applyTerms(name, limit, terms);
    }
    countDemand(limit, now);
    std::optional<RateDecision> decision = tryTake(limit, now);
    if (!decision && holder_ == self_) {
        askSelf({{name, wantedOf(limit, now) + 1}}, now);
        decision = tryTake(limit, now);
    }
    if (decision) {
        done(admit(limit, *decision));
        return 0;
    }
    const bool canAsk = !holder_.empty() && holder_ != self_ && failures_ == 0;
    if (!canAsk || now < limit.emptyUntil || maxWait <= Duration{0}) {
        done(refuse(limit, now));
        return 0;
    }
    ++counters_.waited;
    const RateRequestId id = ++lastId_;
    const auto position = std::find_if(limit.waiting.begin(), limit.waiting.end(), [priority](const Waiting &waiting) { return waiting.priority > priority; });
    limit.waiting.insert(position, Waiting{id, priority, now + maxWait, std::move(done)});
    scheduleEndOfWaits(now + maxWait);
    askSoon();
    return id;
}

void SharedRates::cancel(RateRequestId id)
{
    const auto isCancelled = [id](const Waiting &waiting) { return waiting.id == id; };
    for (auto &[name, limit] : limits_) {
        limit.waiting.remove_if(isCancelled);
    }
    released_.remove_if(isCancelled);
}

void SharedRates::giveBack(const std::string &name, const RateDecision &admission)
{
    const TimePoint now = this->now();
    const auto limit = limits_.find(name);
    if (limit == limits_.end() || !admission.admitted || admission.returnableUntil <= now) {
        return;
    }
    advance(now);
    ++limit->second.report.givenBack;
    limit->second.stocks.push_back({1, admission.returnableUntil});
    serveWaiting(limit->second, now);
}

void SharedRates::serveWaiting(Limit &limit, TimePoint now)
{
    while (!limit.waiting.empty()) {
        const std::optional<RateDecision> decision = tryTake(limit, now);
        if (!decision) {
            return;
        }
        const Callback done = std::move(limit.waiting.front().done);
        limit.waiting.pop_front();
        done(admit(limit, *decision));
    }
}

void SharedRates::refuseWaiting(Limit &limit, TimePoint now)
{
    // Callbacks may cancel others, and add some, which wait for the next answer.
    const RateRequestId last = lastId_;
    const auto next = [&limit, last] {
        return std::find_if(limit.waiting.begin(), limit.waiting.end(), [last](const Waiting &waiting) { return waiting.id <= last; });
    };
    for (auto waiting = next(); waiting != limit.waiting.end(); waiting = next()) {
        refuseOne(limit, waiting, now);
    }
}

void SharedRates::refuseOne(Limit &limit, std::list<Waiting>::iterator waiting, TimePoint now)
{
    const Callback done = std::move(waiting->done);
    limit.waiting.erase(waiting);
    done(refuse(limit, now));
}

void SharedRates::scheduleEndOfWaits(TimePoint at)
{
    if (at >= waitTimerAt_) {
        return;
    }
    runtime_.cancel(waitTimer_);
    waitTimerAt_ = at;
    waitTimer_ = runtime_.schedule(std::max(at - now(), Duration{0}), [this] {
        waitTimer_ = 0;
        waitTimerAt_ = TimePoint::max();
        endWaits();
    });
}

void SharedRates::endWaits()
{
    const TimePoint now = this->now();
    for (auto &[name, limit] : limits_) {
        const auto next = [&waiting = limit.waiting, now] {
            return std::find_if(waiting.begin(), waiting.end(), [now](const Waiting &one) { return one.until <= now; });
        };
        for (auto waiting = next(); waiting != limit.waiting.end(); waiting = next()) {
            refuseOne(limit, waiting, now);
        }
    }
    TimePoint earliest = TimePoint::max();
    for (const auto &[name, limit] : limits_) {
        for (const Waiting &waiting : limit.waiting) {
            earliest = std::min(earliest, waiting.until);
        }
    }
    if (earliest != TimePoint::max()) {
        scheduleEndOfWaits(earliest);
    }
}

void SharedRates::scheduleInterval()
{
    std::uniform_real_distribution<double> jitter(1 - IntervalJitter, 1 + IntervalJitter);
    intervalTimer_ = runtime_.schedule(durationOf(secondsOf(AskInterval) * jitter(random_)), [this] { onInterval(); });
}

void SharedRates::onInterval()
{
    scheduleInterval();
    const TimePoint now = this->now();
    confirmPart(now);
    advance(now);
    for (auto &[name, limit] : limits_) {
        if (limit.report.refused > 0 && now - limit.reportedAt >= ReportInterval) {
            report(limit, now);
        }
    }
    chooseHolder(now, "none answered");
    takeBack(now);
    ask(now);
}

void SharedRates::confirmPart(TimePoint now)
{
    // The store's confirmation is of another clock, so only its change counts.
    if (std::exchange(confirmationSeen_, confirmedAt_()) != confirmationSeen_) {
        ownPart_.onConfirmed(now);
    }
}

void SharedRates::report(Limit &limit, TimePoint now)
{
    limit.report.holder = holder_;
    limit.report.part = holder_.empty() ? part_ : holder_ == self_ ? ownHolder_.pooled(now) : pooled_;
    onReport_(limit.report);
    RateReport next;
    next.name = limit.report.name;
    next.terms = limit.terms;
    limit.report = next;
    limit.reportedAt = now;
}

void SharedRates::chooseHolder(TimePoint now, const char *reason)
{
    const auto first = std::find_if(holders_.begin(), holders_.end(), [this, now](const InstanceId &id) {
        const auto avoided = avoided_.find(id);
        return id == self_ || avoided == avoided_.end() || avoided->second.until <= now;
    });
    const InstanceId chosen = first == holders_.end() ? InstanceId() : *first;
    if (chosen == holder_) {
        return;
    }
    holder_ = chosen;
    stamp_ = {};
    pooled_ = 0;
    failures_ = 0;
    ++counters_.holderChanges;
    onHolder_(holder_, reason);
}

void SharedRates::avoid(const InstanceId &holder, TimePoint now)
{
    Avoidance &avoidance = avoided_[holder];
    avoidance.span = std::clamp(2 * avoidance.span, MinAvoidance, MaxAvoidance);
    avoidance.until = now + avoidance.span;
    chooseHolder(now, "no answer");
}

void SharedRates::markLent(const InstanceId &to, TimePoint now)
{
    advance(now);
    const bool was = isLent(now);
    if (!was) {
        settleAll();
    }
    lentTo_ = to;
    lentUntil_ = now + RateLoanTerm;
    ++loans_;
    if (!was) {
        settleAll();
    }
}

void SharedRates::markTakenBack(TimePoint now)
{
    advance(now);
    lentUntil_ = std::min(lentUntil_, now);
}

void SharedRates::takeBack(TimePoint now)
{
    if (!isLent(now) || lentTo_ == holder_ || lentTo_.empty()) {
        return;
    }
    if (lentTo_ == self_) {
        ownHolder_.takeBack(self_, now);
        markTakenBack(now);
        return;
    }
    RateAsk message{self_};
    message.takesBack = true;
    const std::uint64_t loans = loans_;
    send_(lentTo_, message, [this, loans, alive = alive_](const Result<RateReply> &reply) {
        if (*alive && reply && loans == loans_) {
            const TimePoint endedAt = this->now();
            markTakenBack(endedAt);
            ask(endedAt);
        }
    });
}

void SharedRates::askSoon()
{
    if (askTimer_ != 0 || asksInFlight_ >= MaxAsksInFlight) {
        return;
    }
    askTimer_ = runtime_.schedule(AskDelay, [this] {
        askTimer_ = 0;
        const TimePoint now = this->now();
        advance(now);
        ask(now);
    });
}

void SharedRates::askSelf(std::vector<RateWant> wanted, TimePoint now)
{
    if (part_ > 0 && (!isLent(now) || lentTo_ == self_)) {
        ownHolder_.lend(self_, part_, now);
        markLent(self_, now);
    }
    RateAsk message{self_};
    message.wants = std::move(wanted);
    takeGrants(message, ownHolder_.onAsk(message, now), now, now);
}

void SharedRates::ask(TimePoint now)
{
    std::vector<RateWant> wanted = wants(now);
    if (holder_.empty()) {
        return;
    }
    if (holder_ == self_) {
        askSelf(std::move(wanted), now);
        return;
    }
    if (wanted.empty() && part_ == 0) {
        return;
    }
    RateAsk message{self_};
    message.stamp = stamp_;
    message.wants = std::move(wanted);
    if (part_ > 0 && stamp_.life != 0 && (!isLent(now) || lentTo_ == holder_)) {
        message.loan = part_;
        markLent(holder_, now);
    }
    send(message, now);
}

void SharedRates::send(const RateAsk &ask, TimePoint now)
{
    ++counters_.asks;
    ++asksInFlight_;
    for (const RateWant &want : ask.wants) {
        limits_[want.name].incoming += want.tokens;
    }
    send_(holder_, ask, [this, to = holder_, ask, now, alive = alive_](const Result<RateReply> &reply) {
        if (*alive) {
            onReply(to, ask, now, reply);
        }
    });
}

void SharedRates::onReply(const InstanceId &from, const RateAsk &ask, TimePoint sentAt, const Result<RateReply> &reply)
{
    const TimePoint now = this->now();
    advance(now);
    --asksInFlight_;
    for (const RateWant &want : ask.wants) {
        const auto limit = limits_.find(want.name);
        if (limit != limits_.end()) {
            limit->second.incoming -= std::min(limit->second.incoming, want.tokens);
        }
    }
    if (!reply) {
        onFailed(from, reply.error(), now);
        return;
    }
    if (from == holder_) {
        failures_ = 0;
        avoided_.erase(from);
        if (reply->stamp.life != stamp_.life || reply->stamp.time > stamp_.time) {
            stamp_ = reply->stamp;
            pooled_ = reply->pooled;
        }
        if (reply->pooled >= MostParts) {
            ownPart_.onConfirmed(now);
        }
    }
    takeGrants(ask, *reply, sentAt, now);
}

void SharedRates::onFailed(const InstanceId &from, const Failure &failure, TimePoint now)
{
    ++counters_.asksFailed;
    if (from != holder_) {
        return;
    }
    if (++failures_ >= MaxFailures || failure.code == Errc::NotFound) {
        avoid(from, now);
        takeBack(now);
    }
    askSoon();
}

void SharedRates::takeGrants(const RateAsk &ask, const RateReply &reply, TimePoint sentAt, TimePoint now)
{
    bool unanswered = false;
    const TimePoint until = sentAt + RateTokenTerm;
    for (std::size_t index = 0; index < std::min(ask.wants.size(), reply.grants.size()); ++index) {
        const auto found = limits_.find(ask.wants[index].name);
        if (found == limits_.end()) {
            continue;
        }
        Limit &limit = found->second;
        std::uint32_t tokens = std::min(reply.grants[index].tokens, ask.wants[index].tokens);
        const bool isShort = tokens < ask.wants[index].tokens;
        limit.report.granted += tokens;
        limit.report.unmet += ask.wants[index].tokens - tokens;
        if (until <= now) {
            limit.report.expired += tokens;
            tokens = 0;
        }
        settle(limit);
        if (tokens > limit.waiting.size() && keptTokens(limit) > 0 && limit.own < 1 - RoundingMargin) {
            limit.own = 1;
            --tokens;
        }
        if (tokens > 0) {
            limit.stocks.push_back({tokens, until});
        }
        if (isShort) {
            limit.emptyUntil = now + AskInterval;
            limit.promisedUntil = std::max(limit.promisedUntil, now + reply.grants[index].wait);
        }
        serveWaiting(limit, now);
        if (isShort) {
            refuseWaiting(limit, now);
        }
        unanswered = unanswered || !limit.waiting.empty();
    }
    if (unanswered && holder_ != self_) {
        askSoon();
    }
}

} // namespace Burdock
