#include <burdock/policy/hedgedelay.h>

#include <algorithm>

namespace Burdock
{

namespace
{

/// A replica is waited for at most this many times the quantile of all.
constexpr int LongestOfPooled = 2;
/// A flood is on where the queue delay is more than the latency divided by this.
constexpr int FloodDivisor = 2;
/// Queue delays below this are no flood.
constexpr Duration LeastFloodDelay = std::chrono::milliseconds(1);

} // namespace

HedgeDelay::HedgeDelay(double quantile)
    : quantile_(quantile)
{
}

void HedgeDelay::measured(const ServerId &server, Rank rank, Duration took, TimePoint now)
{
    std::optional<LatencyHistogram> &own = servers_[server][rankIndex(rank)];
    if (!own) {
        own.emplace();
    }
    own->add(took, now);
    pooled_[rankIndex(rank)].add(took, now);
    latency_[rankIndex(rank)].add(took);
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
    for (const Rank rank : AllRanks) {
        queueDelay_[rankIndex(rank)].add(report.queueDelay[rankIndex(rank)]);
    }
}

bool HedgeDelay::flooded(Rank rank) const
{
    const Duration delay = queueDelay_[rankIndex(rank)].value();
    return delay > std::max(latency_[rankIndex(rank)].value() / FloodDivisor, LeastFloodDelay);
}

std::optional<Duration> HedgeDelay::delay(const ServerId &server, Rank rank, TimePoint now) const
{
    if (flooded(rank)) {
        return std::nullopt;
    }
    const std::optional<Duration> pooled = pooled_[rankIndex(rank)].quantile(quantile_, now);
    const auto found = servers_.find(server);
    const bool measured = found != servers_.end() && found->second[rankIndex(rank)];
    const std::optional<Duration> own = measured ? found->second[rankIndex(rank)]->quantile(quantile_, now) : std::nullopt;
    return own && pooled ? std::min(*own, *pooled * LongestOfPooled) : pooled;
}

} // namespace Burdock
