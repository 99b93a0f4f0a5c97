#pragma once

#include <burdock/values/subrequest.h>

#include <cstdint>
#include <vector>

namespace Burdock
{

/// A request for further hits of one shard.
struct TopKRequest
{
    /// The zero-based index of the shard in the plan.
    std::size_t shard = 0;
    std::uint32_t offset = 0;
    std::uint32_t limit = 0;

    auto fields() const
    {
        return std::tie(shard, offset, limit);
    }
};

/// Finds the exact top k documents of many shards without requesting k hits from every shard.
///
/// The first round requests `firstLimit` hits from each shard. Further rounds request more hits only from shards whose
/// last hit ranks before the k-th best document so far, as many as could still enter the top k. Two rounds suffice if
/// no document is in two shards; otherwise a few more follow, each requesting twice as many hits.
class TopKPlan
{
public:
    TopKPlan(std::uint32_t k, std::size_t shardCount);

    /// Uses the given limit for the first round instead of the computed one.
    TopKPlan(std::uint32_t k, std::size_t shardCount, std::uint32_t firstLimit);

    /// The number of hits to request from every shard in the first round, from offset 0.
    std::uint32_t firstLimit() const;

    /// Adds the hits of one shard. Returns false and adds nothing if they do not match the request: another offset, more or
    /// fewer hits than requested and remaining, hits out of order, or another total than before.
    bool add(std::size_t shard, std::uint32_t offset, std::vector<Hit> hits, std::uint64_t total);

    /// The requests of the next round; call it when every request of this round was answered or abandoned. Empty when the
    /// top k of the answering shards are known. Each request is returned once.
    std::vector<TopKRequest> nextRequests();

    /// True if the shard has answered and none of its remaining documents can be among the top k.
    bool settled(std::size_t shard) const;

    /// The top k documents so far; each id occurs once, with its best score.
    std::vector<Hit> merged() const;

    /// The number of hits received from all shards.
    std::uint64_t hitsReceived() const;

    /// The number of rounds so far, including the first.
    std::uint32_t rounds() const;

private:
    struct ShardState
    {
        std::vector<Hit> hits;
        std::uint64_t total = 0;
        /// The number of hits in the outstanding request; 0 if none is outstanding.
        std::uint32_t requested = 0;
        bool answered = false;
    };

    bool matchesRequest(const ShardState &state, std::uint32_t offset, const std::vector<Hit> &hits, std::uint64_t total) const;
    std::vector<const Hit *> best() const;
    std::uint32_t remainingCandidates(const ShardState &state, const std::vector<const Hit *> &best) const;

    std::uint32_t k_;
    std::uint32_t rounds_ = 1;
    std::uint32_t firstLimit_;
    std::vector<ShardState> shards_;
};

} // namespace Burdock
