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

/// Chooses the replica for a sub-request: the cheaper of two drawn at random.
///
/// The cost of a replica is the queue delay that its holder reported plus its measured latency, raised
/// where its requests fail. What was measured long ago loses weight, so that a replica that was bad is
/// tried again. Leaving servers get nothing; ejected ones only where too many of a shard's replicas
/// are ejected, or no other is left.
class ReplicaChoice
{
public:
    /// `ejectedPart`: at most this part of a shard's replicas counts as ejected, rounded down.
    ReplicaChoice(Runtime &runtime, std::uint64_t seed, double ejectedPart);

    std::optional<ServerId> choose(const std::vector<ServerId> &replicas, Rank rank, const std::vector<ServerId> &tried);

    /// Learns from an answer, a failure of the server, or an attempt given up after `took`.
    void answered(const ServerId &server, Rank rank, Duration took);
    void failed(const ServerId &server);
    void givenUp(const ServerId &server, Rank rank, Duration took);

    /// Takes over what a holder reported.
    void reported(const ServerReport &report);

    /// How many times a server was ejected.
    std::uint64_t ejections() const;

private:
    struct Replica
    {
        PerRank<LatencyAverage> latency;
        double failing = 0;
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
    std::vector<ServerId> ejectedOf(const std::vector<ServerId> &replicas) const;
    ServerId cheaperOfTwo(const std::vector<ServerId> &candidates, Rank rank);

    Runtime &runtime_;
    std::mt19937_64 random_;
    double ejectedPart_;
    std::unordered_map<ServerId, Replica> replicas_;
    PerRank<LatencyAverage> pooled_;
    std::uint64_t ejections_ = 0;
};

} // namespace Burdock
