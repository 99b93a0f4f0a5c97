#include <burdock/policy/hedgedelay.h>

#include <algorithm>

namespace Burdock
{

namespace
{

/// The delay for a replica is at most this multiple of the pooled quantile.
constexpr int MaxPooledMultiple = 2;
/// A rank is overloaded if its queue delay exceeds this multiple of the latency without a queue.
constexpr int OverloadFactor = 3;
/// Samples are capped at this multiple of the average, so that stragglers do not raise it.
constexpr int MaxSampleMultiple = 2;
/// Shorter queue delays never count as overload.
constexpr Duration MinOverloadDelay = std::chrono::milliseconds(5);

} // namespace

HedgeDelay::HedgeDelay(double quantile)
    : quantile_(quantile)
{
}

void HedgeDelay::recordLatency(const ServerId &server, Rank rank, Duration took, TimePoint now)
{
    Server &state = servers_[server];
    std::optional<LatencyHistogram> &own = state.latency[rankIndex(rank)];
    if (!own) {
        own.emplace();
    }
    own->add(took, now);
    pooled_[rankIndex(rank)].add(took, now);
    LatencyAverage &withoutQueue = latencyWithoutQueue_[rankIndex(rank)];
    if (state.queueDelay[rankIndex(rank)] == Duration{0}) {
        withoutQueue.add(withoutQueue.hasSamples() ? std::min(took, withoutQueue.value() * MaxSampleMultiple) : took);
    }
}

void HedgeDelay::onAbandoned(const ServerId &server, Rank rank, Duration took, TimePoint now)
{
    const std::optional<Duration> pooled = pooled_[rankIndex(rank)].quantile(quantile_, now);
    if (pooled && took >= *pooled) {
        recordLatency(server, rank, took, now);
    }
}

void HedgeDelay::onServerReport(const ServerReport &report)
{
    servers_[report.server].queueDelay = report.queueDelay;
    for (const Rank rank : AllRanks) {
        queueDelay_[rankIndex(rank)].add(report.queueDelay[rankIndex(rank)]);
    }
}

bool HedgeDelay::overloaded(Rank rank) const
{
    const Duration delay = queueDelay_[rankIndex(rank)].value();
    return delay > std::max(latencyWithoutQueue_[rankIndex(rank)].value() * OverloadFactor, MinOverloadDelay);
}

std::optional<Duration> HedgeDelay::delay(const ServerId &server, Rank rank, TimePoint now) const
{
    if (overloaded(rank)) {
        return std::nullopt;
    }
    const std::optional<Duration> pooled = pooled_[rankIndex(rank)].quantile(quantile_, now);
    const auto found = servers_.find(server);
    const bool hasOwn = found != servers_.end() && found->second.latency[rankIndex(rank)];
    const std::optional<Duration> own = hasOwn ? found->second.latency[rankIndex(rank)]->quantile(quantile_, now) : std::nullopt;
    return own && pooled ? std::min(*own, *pooled * MaxPooledMultiple) : pooled;
}

} // namespace Burdock
