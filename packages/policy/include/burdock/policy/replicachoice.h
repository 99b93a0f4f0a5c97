#pragma once

#include <burdock/policy/ejection.h>
#include <burdock/policy/latencyaverage.h>
#include <burdock/values/subrequest.h>

#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace Burdock
{

/// Chooses a replica for a sub-request: the cheaper of two random candidates.
///
/// The cost of a replica is its reported queue delay plus its measured latency, multiplied by a factor that
/// grows with its failure rate. Old measurements lose weight, so a replica that performed badly is tried again.
/// Draining servers are never chosen. Ejected ones are chosen only if more of a shard's replicas are ejected
/// than allowed, or if no other replica is left.
class ReplicaChoice
{
public:
    /// `maxEjectedFraction`: the fraction of a shard's replicas, rounded down, that may count as ejected.
    ReplicaChoice(Runtime &runtime, std::uint64_t seed, double maxEjectedFraction);

    std::optional<ServerId> choose(const std::vector<ServerId> &replicas, Rank rank, const std::vector<ServerId> &tried);

    void onAnswered(const ServerId &server, Rank rank, Duration took);
    void onFailed(const ServerId &server);
    /// Records an attempt that was abandoned after `took`.
    void onAbandoned(const ServerId &server, Rank rank, Duration took);

    /// Records a holder's report about a server.
    void onServerReport(const ServerReport &report);

    /// The number of ejections since the start.
    std::uint64_t ejections() const;

private:
    struct Replica
    {
        PerRank<LatencyAverage> latency;
        double failureRate = 0;
        TimePoint measuredAt{};
        PerRank<Duration> queueDelay{};
        TimePoint reportedAt{};
        bool draining = false;
        bool ejectedByHolder = false;
        Ejection ejection;
    };

    double cost(const ServerId &server, Rank rank) const;
    bool draining(const ServerId &server) const;
    TimePoint ejectedUntil(const ServerId &server) const;
    std::vector<ServerId> ejectedAmong(const std::vector<ServerId> &replicas) const;
    ServerId chooseCheaperOfTwo(const std::vector<ServerId> &candidates, Rank rank);

    Runtime &runtime_;
    std::mt19937_64 random_;
    double maxEjectedFraction_;
    std::unordered_map<ServerId, Replica> replicas_;
    PerRank<LatencyAverage> pooled_;
    std::uint64_t ejections_ = 0;
};

} // namespace Burdock
