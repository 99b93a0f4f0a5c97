#pragma once

#include <burdock/values/subrequest.h>

#include <cstdint>
#include <vector>

namespace Burdock
{

/// One further request to one shard.
struct TopKRequest
{
    /// The shard's place in the plan, from 0.
    std::size_t shard = 0;
    std::uint32_t offset = 0;
    std::uint32_t limit = 0;

    auto fields() const
    {
        return std::tie(shard, offset, limit);
    }
};

/// Finds the exact best k documents of many shards without asking every shard for all k.
///
/// First each shard is requested for `firstLimit` hits. Then only those shards are requested again whose last
/// hit still stands before the k-th best document so far, for as many as could still enter. Where no
/// document is in two shards, two rounds are enough; otherwise a few more follow, each asking twice as much.
class TopKPlan
{
public:
    TopKPlan(std::uint32_t k, std::size_t shardCount);

    /// As above, with a first share of one's own choice.
    TopKPlan(std::uint32_t k, std::size_t shardCount, std::uint32_t firstLimit);

    /// How many hits to ask every shard for in the first round, from offset 0.
    std::uint32_t firstLimit() const;

    /// Takes one shard's hits. False, and nothing taken, where they are not what was requested: another
    /// offset, more or fewer hits than requested for and left, out of order, or another total than before.
    bool add(std::size_t shard, std::uint32_t offset, std::vector<Hit> hits, std::uint64_t total);

    /// What to ask next; call it when the round's replies are in or given up. Empty when the best k are
    /// known as far as shards have answered. Each ask is given out once.
    std::vector<TopKRequest> nextRequests();

    /// True where the shard has answered and none of its further documents can be among the best k.
    bool settled(std::size_t shard) const;

    /// The best k documents so far, each id once, at its best score.
    std::vector<Hit> merged() const;

    /// How many hits the shards have sent.
    std::uint64_t hitsReceived() const;

    /// How many rounds were requested for, the first one included.
    std::uint32_t rounds() const;

private:
    struct ShardState
    {
        std::vector<Hit> hits;
        std::uint64_t total = 0;
        /// What the outstanding request requested for; 0 where none is outstanding.
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
