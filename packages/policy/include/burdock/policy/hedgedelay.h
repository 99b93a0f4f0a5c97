#pragma once

#include <burdock/policy/latencyaverage.h>
#include <burdock/policy/latencyhistogram.h>
#include <burdock/values/subrequest.h>

#include <optional>
#include <unordered_map>

namespace Burdock
{

/// Computes how long to wait for a replica before hedging: a quantile of its measured latency for the rank.
///
/// A replica with few samples uses the quantile over all replicas. The delay is at most twice that quantile;
/// otherwise a replica that is always slow would never be hedged. A rank is not hedged while its reported
/// queue delay is several times the latency without a queue: all replicas are busy then, and extra requests
/// only lengthen the queues.
class HedgeDelay
{
public:
    explicit HedgeDelay(double quantile);

    /// Records the latency of an answered attempt.
    void recordLatency(const ServerId &server, Rank rank, Duration took, TimePoint now);

    /// Records an attempt that was abandoned after `took`. It is ignored if `took` is below the pooled quantile,
    /// because it then says nothing about the latency.
    void onAbandoned(const ServerId &server, Rank rank, Duration took, TimePoint now);

    /// Records the queue delays that a holder reported.
    void onServerReport(const ServerReport &report);

    /// The hedge delay; nothing if the request must not be hedged or there are too few samples.
    std::optional<Duration> delay(const ServerId &server, Rank rank, TimePoint now) const;

    /// True if the rank's queue delay is several times its latency without a queue.
    bool overloaded(Rank rank) const;

private:
    struct Server
    {
        PerRank<std::optional<LatencyHistogram>> latency;
        PerRank<Duration> queueDelay{};
    };

    double quantile_;
    std::unordered_map<ServerId, Server> servers_;
    PerRank<LatencyHistogram> pooled_;
    /// The latency of answers from servers whose reported queue delay was zero.
    PerRank<LatencyAverage> latencyWithoutQueue_;
    PerRank<LatencyAverage> queueDelay_;
};

} // namespace Burdock
