#include <burdock/policy/admission.h>

#include <algorithm>
#include <cmath>

namespace Burdock
{

namespace
{

/// Half-life of the served count.
constexpr Duration ServedHalfLife = std::chrono::seconds(2);
/// Requests are not refused on a queue delay reported longer ago than this.
constexpr Duration ReportValidity = std::chrono::seconds(1);
/// Requests are refused only while the queue delay exceeds the longest wait divided by this.
constexpr int QueueingDivisor = 4;
/// A caller may have in flight what is served for it in this fraction of its longest wait.
constexpr double InFlightFraction = 0.5;
/// Lower bound of the in-flight limit. Without it, a caller that was idle could not start.
constexpr double MinInFlightLimit = 16;
constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);
/// The retry delay is randomly extended by up to this fraction, so that callers refused together do not all return at once.
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

std::optional<Failure> Admission::tryAdmit(const AdmissionKey &key, Duration longestWait)
{
    KeyUsage &usage = this->usage(key);
    const double servedPerSecond = usage.served * std::log(2.0) / seconds(ServedHalfLife);
    const double inFlightLimit = std::max(servedPerSecond * seconds(longestWait) * InFlightFraction, MinInFlightLimit);
    if (usage.inFlight < inFlightLimit || !queueDelayHigh(key.rank, longestWait)) {
        ++usage.inFlight;
        return std::nullopt;
    }
    ++refusedCounts_[rankIndex(key.rank)];
    return Failure{Errc::Overloaded, Verdict::NotRun, "The caller's share is used up; come back later.", retryAfter(key.rank)};
}

bool Admission::queueDelayHigh(Rank rank, Duration longestWait) const
{
    const Queue &queue = queues_[rankIndex(rank)];
    return runtime_.now() < queue.reportedAt + ReportValidity && queue.delay.value() > longestWait / QueueingDivisor;
}

void Admission::onServerReport(const ServerReport &report)
{
    for (const Rank rank : AllRanks) {
        recordQueueDelay(rank, report.queueDelay[rankIndex(rank)]);
    }
}

void Admission::recordQueueDelay(Rank rank, Duration delay)
{
    Queue &queue = queues_[rankIndex(rank)];
    queue.delay.add(delay);
    queue.reportedAt = runtime_.now();
}

void Admission::onRequestFinished(const AdmissionKey &key, const AdmissionOutcome &outcome)
{
    KeyUsage &usage = this->usage(key);
    usage.inFlight -= std::min<std::uint32_t>(usage.inFlight, 1);
    const std::uint32_t sent = outcome.served + outcome.refused;
    usage.served += sent == 0 ? 0 : static_cast<double>(outcome.served) / sent;
    if (sent > 0) {
        recordQueueDelay(key.rank, outcome.queueDelay);
    }
}

const PerRank<std::uint64_t> &Admission::refusedCounts() const
{
    return refusedCounts_;
}

Admission::KeyUsage &Admission::usage(const AdmissionKey &key)
{
    KeyUsage &usage = usages_[key];
    usage.served *= std::exp2(-seconds(runtime_.now() - usage.decayedAt) / seconds(ServedHalfLife));
    usage.decayedAt = runtime_.now();
    return usage;
}

Duration Admission::retryAfter(Rank rank)
{
    const double spread = 1 + std::uniform_real_distribution<>(0, RetryAfterSpread)(random_);
    const double delay = static_cast<double>(queues_[rankIndex(rank)].delay.value().count());
    return std::max(Duration(static_cast<Duration::rep>(delay * spread)), MinRetryAfter);
}

} // namespace Burdock
