#include <burdock/policy/hedgedelay.h>

#include <algorithm>

namespace Burdock
{

namespace
{

/// A replica is waited for at most this many times the quantile of all.
constexpr int LongestOfPooled = 2;
/// A flood is on where the queue delay is more than so many answers without a queue.
constexpr int FloodAnswers = 3;
/// A sample counts for at most so many times the average, so that stragglers do not raise it.
constexpr int LargestStep = 2;
/// Queue delays below this are no flood.
constexpr Duration LeastFloodDelay = std::chrono::milliseconds(5);

} // namespace

HedgeDelay::HedgeDelay(double quantile)
    : quantile_(quantile)
{
}

void HedgeDelay::measured(const ServerId &server, Rank rank, Duration took, TimePoint now)
{
    Server &from = servers_[server];
    std::optional<LatencyHistogram> &own = from.latency[rankIndex(rank)];
    if (!own) {
        own.emplace();
    }
    own->add(took, now);
    pooled_[rankIndex(rank)].add(took, now);
    LatencyAverage &unqueued = unqueued_[rankIndex(rank)];
    if (from.queueDelay[rankIndex(rank)] == Duration{0}) {
        unqueued.add(unqueued.known() ? std::min(took, unqueued.value() * LargestStep) : took);
    }
}

void HedgeDelay::givenUp(const ServerId &server, Rank rank, Duration took, TimePoint now)
{
    const std::optional<Duration> pooled = pooled_[rankIndex(rank)].quantile(quantile_, now);
    if (pooled && took >= *pooled) {
        measured(server, rank, took, now);
    }
}

void HedgeDelay::reported(const ServerReport &report)
{
    servers_[report.server].queueDelay = report.queueDelay;
    for (const Rank rank : AllRanks) {
        queueDelay_[rankIndex(rank)].add(report.queueDelay[rankIndex(rank)]);
    }
}

bool HedgeDelay::flooded(Rank rank) const
{
    const Duration delay = queueDelay_[rankIndex(rank)].value();
    return delay > std::max(unqueued_[rankIndex(rank)].value() * FloodAnswers, LeastFloodDelay);
}

std::optional<Duration> HedgeDelay::delay(const ServerId &server, Rank rank, TimePoint now) const
{
    if (flooded(rank)) {
        return std::nullopt;
    }
    const std::optional<Duration> pooled = pooled_[rankIndex(rank)].quantile(quantile_, now);
    const auto found = servers_.find(server);
    const bool measured = found != servers_.end() && found->second.latency[rankIndex(rank)];
    const std::optional<Duration> own = measured ? found->second.latency[rankIndex(rank)]->quantile(quantile_, now) : std::nullopt;
    return own && pooled ? std::min(*own, *pooled * LongestOfPooled) : pooled;
}

} // namespace Burdock
