#include <burdock/policy/admission.h>

#include <algorithm>
#include <cmath>

namespace Burdock
{

namespace
{

/// What was served loses half its weight in this time.
constexpr Duration HalfLife = std::chrono::seconds(2);
/// A queue delay that nobody has reported for this long is no reason to refuse.
constexpr Duration ReportLife = std::chrono::seconds(1);
/// Requests are refused only while the queue delay is above the longest wait divided by this.
constexpr int QueueingDivisor = 4;
/// A caller may have in flight what it is served in this part of its longest wait.
constexpr double InFlightPart = 0.5;
/// A caller may always have so many in flight, or one that was idle could not begin.
constexpr double LeastInFlight = 16;
constexpr Duration LeastRetryAfter = std::chrono::milliseconds(100);
/// Callers refused together are asked back over a span of this part of the wait.
constexpr double RetryAfterSpread = 0.5;

double seconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

Admission::Admission(Runtime &runtime, std::uint64_t seed)
    : runtime_(runtime)
    , random_(seed)
{
}

std::optional<Failure> Admission::refusal(const AdmissionKey &key, Duration longestWait)
{
    Account &account = this->account(key);
    const double servedPerSecond = account.served * std::log(2.0) / seconds(HalfLife);
    const double most = std::max(servedPerSecond * seconds(longestWait) * InFlightPart, LeastInFlight);
    if (account.inFlight < most || !queueing(key.rank, longestWait)) {
        ++account.inFlight;
        return std::nullopt;
    }
    ++refused_[rankIndex(key.rank)];
    return Failure{Errc::Overloaded, Verdict::NotRun, "The caller's share is used up; come back later.", retryAfter(key.rank)};
}

bool Admission::queueing(Rank rank, Duration longestWait) const
{
    const Queue &queue = queues_[rankIndex(rank)];
    return runtime_.now() < queue.reportedAt + ReportLife && queue.delay.value() > longestWait / QueueingDivisor;
}

void Admission::reported(const ServerReport &report)
{
    for (const Rank rank : AllRanks) {
        learnDelay(rank, report.queueDelay[rankIndex(rank)]);
    }
}

void Admission::learnDelay(Rank rank, Duration delay)
{
    Queue &queue = queues_[rankIndex(rank)];
    queue.delay.add(delay);
    queue.reportedAt = runtime_.now();
}

void Admission::ended(const AdmissionKey &key, const AdmissionOutcome &outcome)
{
    Account &account = this->account(key);
    account.inFlight -= std::min<std::uint32_t>(account.inFlight, 1);
    const std::uint32_t sent = outcome.served + outcome.refused;
    account.served += sent == 0 ? 0 : static_cast<double>(outcome.served) / sent;
    if (sent > 0) {
        learnDelay(key.rank, outcome.queueDelay);
    }
}

const PerRank<std::uint64_t> &Admission::refused() const
{
    return refused_;
}

Admission::Account &Admission::account(const AdmissionKey &key)
{
    Account &account = accounts_[key];
    account.served *= std::exp2(-seconds(runtime_.now() - account.decayedAt) / seconds(HalfLife));
    account.decayedAt = runtime_.now();
    return account;
}

Duration Admission::retryAfter(Rank rank)
{
    const double spread = 1 + std::uniform_real_distribution<>(0, RetryAfterSpread)(random_);
    const double delay = static_cast<double>(queues_[rankIndex(rank)].delay.value().count());
    return std::max(Duration(static_cast<Duration::rep>(delay * spread)), LeastRetryAfter);
}

} // namespace Burdock
