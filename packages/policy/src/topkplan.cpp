#include <burdock/policy/topkplan.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <string_view>
#include <unordered_set>

namespace Burdock
{

namespace
{

/// Standard deviations added to an even share of k to compute the first limit.
constexpr double InitialLimitDeviations = 3;
/// Hits added to the first limit, so that small answers seldom need a second round.
constexpr double InitialLimitExtraHits = 2;
/// Two rounds suffice without duplicates. If more are needed, requests grow because duplicates must be the cause.
constexpr std::uint32_t RoundsBeforeGrowth = 2;

std::uint32_t initialLimit(std::uint32_t k, std::size_t shardCount)
{
    const double even = static_cast<double>(k) / static_cast<double>(std::max<std::size_t>(shardCount, 1));
    const double share = std::ceil(even + InitialLimitDeviations * std::sqrt(even) + InitialLimitExtraHits);
    return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(share), std::min(k, 1U), k);
}

} // namespace

TopKPlan::TopKPlan(std::uint32_t k, std::size_t shardCount)
    : TopKPlan(k, shardCount, initialLimit(k, shardCount))
{
}

TopKPlan::TopKPlan(std::uint32_t k, std::size_t shardCount, std::uint32_t firstLimit)
    : k_(k)
    , firstLimit_(firstLimit)
    , shards_(shardCount)
{
    for (ShardState &state : shards_) {
        state.requested = firstLimit_;
    }
}

std::uint32_t TopKPlan::firstLimit() const
{
    return firstLimit_;
}

bool TopKPlan::matchesRequest(const ShardState &state, std::uint32_t offset, const std::vector<Hit> &hits, std::uint64_t total) const
{
    if ((state.requested == 0 && k_ > 0) || offset != state.hits.size() || (state.answered && total != state.total) || total < offset) {
        return false;
    }
    if (hits.size() != std::min<std::uint64_t>(state.requested, total - offset)) {
        return false;
    }
    const Hit *previous = state.hits.empty() ? nullptr : &state.hits.back();
    for (const Hit &hit : hits) {
        if (std::isnan(hit.score) || (previous != nullptr && !ranksBefore(*previous, hit))) {
            return false;
        }
        previous = &hit;
    }
    return true;
}

bool TopKPlan::add(std::size_t shard, std::uint32_t offset, std::vector<Hit> hits, std::uint64_t total)
{
    if (shard >= shards_.size() || !matchesRequest(shards_[shard], offset, hits, total)) {
        return false;
    }
    ShardState &state = shards_[shard];
    std::move(hits.begin(), hits.end(), std::back_inserter(state.hits));
    state.total = total;
    state.requested = 0;
    state.answered = true;
    return true;
}

/// The top k hits; each id occurs once.
std::vector<const Hit *> TopKPlan::best() const
{
    std::vector<const Hit *> all;
    for (const ShardState &state : shards_) {
        std::transform(state.hits.begin(), state.hits.end(), std::back_inserter(all), [](const Hit &hit) { return &hit; });
    }
    std::sort(all.begin(), all.end(), [](const Hit *a, const Hit *b) { return ranksBefore(*a, *b); });
    std::unordered_set<std::string_view> seen;
    std::vector<const Hit *> result;
    for (const Hit *hit : all) {
        if (result.size() < k_ && seen.insert(hit->id).second) {
            result.push_back(hit);
        }
    }
    return result;
}

/// The maximum number of further documents of the shard that can be among the top k.
std::uint32_t TopKPlan::remainingCandidates(const ShardState &state, const std::vector<const Hit *> &best) const
{
    const std::uint64_t left = state.total - state.hits.size();
    if (left == 0 || k_ == 0) {
        return 0;
    }
    const Hit &last = state.hits.back();
    const auto behind = std::find_if(best.begin(), best.end(), [&last](const Hit *hit) { return ranksBefore(last, *hit); });
    const auto places = k_ - static_cast<std::uint32_t>(behind - best.begin());
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(places, left));
}

std::vector<TopKRequest> TopKPlan::nextRequests()
{
    const std::vector<const Hit *> ranking = best();
    const std::uint32_t growth = rounds_ >= RoundsBeforeGrowth ? 2 : 1;
    std::vector<TopKRequest> requests;
    for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
        ShardState &state = shards_[shard];
        const std::uint32_t possible = state.answered && state.requested == 0 ? remainingCandidates(state, ranking) : 0;
        if (possible > 0) {
            const std::uint64_t limit = std::min<std::uint64_t>(std::uint64_t{possible} * growth, state.total - state.hits.size());
            state.requested = static_cast<std::uint32_t>(limit);
            requests.push_back({shard, static_cast<std::uint32_t>(state.hits.size()), state.requested});
        }
    }
    rounds_ += requests.empty() ? 0 : 1;
    return requests;
}

bool TopKPlan::settled(std::size_t shard) const
{
    const ShardState &state = shards_.at(shard);
    return state.answered && remainingCandidates(state, best()) == 0;
}

std::vector<Hit> TopKPlan::merged() const
{
    const std::vector<const Hit *> ranking = best();
    std::vector<Hit> result;
    result.reserve(ranking.size());
    std::transform(ranking.begin(), ranking.end(), std::back_inserter(result), [](const Hit *hit) { return *hit; });
    return result;
}

std::uint64_t TopKPlan::hitsReceived() const
{
    std::uint64_t sum = 0;
    for (const ShardState &state : shards_) {
        sum += state.hits.size();
    }
    return sum;
}

std::uint32_t TopKPlan::rounds() const
{
    return rounds_;
}

} // namespace Burdock
