#include <burdock/routing/rateholder.h>

#include <algorithm>
#include <cmath>

namespace Burdock
{

namespace
{

/// What an instance wanted and did not get counts for this time, unless it asks again.
constexpr Duration UnmetMemory = std::chrono::seconds(1);
/// The longest time to come back.
constexpr Duration MaxWait = std::chrono::seconds(5);
/// The time to come back for a limit that this instance does not know yet.
constexpr Duration UnknownWait = std::chrono::milliseconds(300);
/// The sum of parts is a sum of fractions.
constexpr double RoundingMargin = 1e-9;

double secondsOf(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

RateHolder::RateHolder(std::uint64_t life, const RateAllowance &allowance)
    : life_(life)
    , allowance_(allowance)
{
}

void RateHolder::setTerms(const std::map<std::string, RateTerms> &terms, TimePoint now)
{
    advance(now);
    settleAll();
    for (auto bucket = buckets_.begin(); bucket != buckets_.end();) {
        bucket = terms.count(bucket->first) > 0 ? std::next(bucket) : buckets_.erase(bucket);
    }
    for (const auto &[name, rate] : terms) {
        const auto [found, added] = buckets_.try_emplace(name);
        found->second.terms = rate;
        found->second.capacity = rateSavings(rate, allowance_, senders_).capacity;
        found->second.counted = earned_;
    }
    settleAll();
}

void RateHolder::setSenders(std::size_t count, TimePoint now)
{
    if (senders_ == count) {
        return;
    }
    advance(now);
    senders_ = count;
    for (auto &[name, bucket] : buckets_) {
        bucket.capacity = rateSavings(bucket.terms, allowance_, senders_).capacity;
    }
    settleAll();
}

double RateHolder::sumOfParts() const
{
    double sum = 0;
    for (const auto &[id, loan] : loans_) {
        sum += loan.part;
    }
    return std::min(sum, 1.0);
}

void RateHolder::earnUntil(TimePoint time)
{
    if (time > advancedTo_) {
        earned_ += sumOfParts() * secondsOf(time - advancedTo_);
        advancedTo_ = time;
    }
}

void RateHolder::advance(TimePoint now)
{
    while (!loans_.empty()) {
        const auto first = std::min_element(loans_.begin(), loans_.end(), [](const auto &a, const auto &b) { return a.second.until < b.second.until; });
        if (first->second.until > now) {
            break;
        }
        earnUntil(first->second.until);
        loans_.erase(first);
        settleAll();
    }
    earnUntil(now);
    for (auto taken = takenBackAt_.begin(); taken != takenBackAt_.end();) {
        taken = taken->second + RateLoanTerm <= now ? takenBackAt_.erase(taken) : std::next(taken);
    }
}

void RateHolder::settle(Bucket &bucket) const
{
    bucket.tokens = std::min(bucket.tokens + bucket.terms.perSecond * (earned_ - bucket.counted), bucket.capacity * sumOfParts());
    bucket.counted = earned_;
}

void RateHolder::settleAll()
{
    for (auto &[name, bucket] : buckets_) {
        settle(bucket);
    }
}

void RateHolder::addLoan(const InstanceId &from, double part, TimePoint until, TimePoint now)
{
    advance(now);
    Loan &loan = loans_[from];
    loan.until = std::max(loan.until, until);
    if (loan.part != part) {
        loan.part = part;
        settleAll();
    }
}

void RateHolder::lend(const InstanceId &from, double part, TimePoint now)
{
    addLoan(from, part, now + RateLoanTerm, now);
}

void RateHolder::takeBack(const InstanceId &from, TimePoint now)
{
    advance(now);
    takenBackAt_[from] = now;
    if (loans_.erase(from) > 0) {
        settleAll();
    }
}

double RateHolder::pooled(TimePoint now)
{
    advance(now);
    return sumOfParts();
}

RateGrant RateHolder::grant(Bucket &bucket, const InstanceId &to, std::uint32_t wanted, TimePoint now)
{
    settle(bucket);
    RateGrant out;
    out.tokens = std::min(wanted, static_cast<std::uint32_t>(std::max(0.0, bucket.tokens + RoundingMargin)));
    bucket.tokens -= out.tokens;
    granted_ += out.tokens;
    for (auto other = bucket.unmet.begin(); other != bucket.unmet.end();) {
        other = other->first == to || other->second.at + UnmetMemory <= now ? bucket.unmet.erase(other) : std::next(other);
    }
    if (out.tokens < wanted) {
        bucket.unmet[to] = {static_cast<double>(wanted - out.tokens), now};
        double missing = -bucket.tokens;
        for (const auto &[id, unmet] : bucket.unmet) {
            missing += unmet.tokens;
        }
        const double perSecond = bucket.terms.perSecond * sumOfParts();
        const double most = secondsOf(MaxWait);
        out.wait = Duration(static_cast<Duration::rep>((perSecond * most > missing ? missing / perSecond : most) * 1e6));
    }
    return out;
}

RateReply RateHolder::onAsk(const RateAsk &ask, TimePoint now)
{
    advance(now);
    if (ask.takesBack) {
        takeBack(ask.from, now);
    } else if (ask.loan > 0 && ask.stamp.life == life_) {
        const TimePoint stamped{Duration(ask.stamp.time)};
        const auto taken = takenBackAt_.find(ask.from);
        const bool outdated = taken != takenBackAt_.end() && stamped <= taken->second;
        if (stamped <= now && stamped + RateLoanTerm > now && !outdated) {
            addLoan(ask.from, std::min(ask.loan, 1.0), stamped + RateLoanTerm, now);
        }
    }
    RateReply reply;
    reply.stamp = {life_, now.time_since_epoch().count()};
    reply.pooled = sumOfParts();
    reply.grants.reserve(ask.wants.size());
    for (const RateWant &want : ask.wants) {
        const auto bucket = buckets_.find(want.name);
        reply.grants.push_back(bucket == buckets_.end() ? RateGrant{0, UnknownWait} : grant(bucket->second, ask.from, want.tokens, now));
    }
    return reply;
}

} // namespace Burdock
