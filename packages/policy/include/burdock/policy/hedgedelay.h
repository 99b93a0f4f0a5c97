#pragma once

#include <burdock/policy/latencyaverage.h>
#include <burdock/policy/latencyhistogram.h>
#include <burdock/values/subrequest.h>

#include <optional>
#include <unordered_map>

namespace Burdock
{

/// How long to wait for a replica before asking another: a quantile of its measured latency for the rank.
///
/// A replica with few samples gets the quantile over all replicas, and no replica is waited for more than
/// twice that, or a replica that is slow as a whole would never be hedged. There is no hedge of a rank
/// whose reported queue delay is longer than a few times what an answer takes without a queue: then all
/// replicas are busy, and more requests only make the queues longer.
class HedgeDelay
{
public:
    explicit HedgeDelay(double quantile);

    /// Counts an answer that took so long.
    void measured(const ServerId &server, Rank rank, Duration took, TimePoint now);

    /// Counts an attempt given up after so long; one given up early says nothing.
    void givenUp(const ServerId &server, Rank rank, Duration took, TimePoint now);

    /// Takes in the queue delays that a holder reported.
    void reported(const ServerReport &report);

    /// The wait; nothing where no hedge is wanted.
    std::optional<Duration> delay(const ServerId &server, Rank rank, TimePoint now) const;

    /// True where the rank's queues are several times longer than its service.
    bool flooded(Rank rank) const;

private:
    struct Server
    {
        PerRank<std::optional<LatencyHistogram>> latency;
        PerRank<Duration> queueDelay{};
    };

    double quantile_;
    std::unordered_map<ServerId, Server> servers_;
    PerRank<LatencyHistogram> pooled_;
    /// What answers take where no queue was reported with them.
    PerRank<LatencyAverage> unqueued_;
    PerRank<LatencyAverage> queueDelay_;
};

} // namespace Burdock
