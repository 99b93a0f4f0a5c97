#include <burdock/policy/topkplan.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <set>

using namespace Burdock;

namespace
{

using ShardHits = std::vector<std::vector<Hit>>;

void sortHits(std::vector<Hit> &hits)
{
    std::sort(hits.begin(), hits.end(), ranksBefore);
}

/// Distributes random documents over shards. Skew 0 spreads them evenly; skew 1 puts the best ones into the first three.
ShardHits drawShards(std::mt19937 &random, std::size_t shards, std::size_t documents, double skew)
{
    ShardHits all(shards);
    std::uniform_int_distribution<std::size_t> anyShard(0, shards - 1);
    std::uniform_int_distribution<int> score(0, 500);
    for (std::size_t i = 0; i < documents; ++i) {
        const std::size_t shard = anyShard(random);
        const double raised = skew > 0 && shard < 3 ? skew * 1000 : 0;
        all[shard].push_back(Hit{"doc-" + std::to_string(i), score(random) + raised, ""});
    }
    std::for_each(all.begin(), all.end(), sortHits);
    return all;
}

std::vector<Hit> expectedBest(const ShardHits &shards, std::uint32_t k)
{
    std::vector<Hit> all;
    for (const auto &hits : shards) {
        all.insert(all.end(), hits.begin(), hits.end());
    }
    sortHits(all);
    std::set<std::string> seen;
    std::vector<Hit> best;
    for (const Hit &hit : all) {
        if (best.size() < k && seen.insert(hit.id).second) {
            best.push_back(hit);
        }
    }
    return best;
}

bool answer(TopKPlan &plan, const ShardHits &shards, const TopKRequest &request)
{
    const auto &hits = shards[request.shard];
    const auto begin = std::min<std::size_t>(request.offset, hits.size());
    const auto end = std::min<std::size_t>(begin + request.limit, hits.size());
    return plan.add(
        request.shard, request.offset, {hits.begin() + static_cast<std::ptrdiff_t>(begin), hits.begin() + static_cast<std::ptrdiff_t>(end)}, hits.size());
}

void answerFirstRound(TopKPlan &plan, const ShardHits &shards)
{
    for (std::size_t shard = 0; shard < shards.size(); ++shard) {
        REQUIRE(answer(plan, shards, {shard, 0, plan.firstLimit()}));
    }
}

void finish(TopKPlan &plan, const ShardHits &shards)
{
    for (auto requests = plan.nextRequests(); !requests.empty(); requests = plan.nextRequests()) {
        REQUIRE(plan.rounds() < 20);
        for (const TopKRequest &request : requests) {
            REQUIRE(answer(plan, shards, request));
        }
    }
}

} // namespace

TEST_CASE("The top k are exact after two rounds", "[topk]")
{
    const auto seed = GENERATE(range(1U, 13U));
    const double skew = GENERATE(0.0, 0.1, 1.0);
    INFO("seed " << seed << " skew " << skew);
    std::mt19937 random(seed);
    const std::uint32_t k = std::uniform_int_distribution<std::uint32_t>(0, 200)(random);
    const ShardHits shards = drawShards(random, 1 + seed * 4, seed * 200, skew);
    TopKPlan plan(k, shards.size());
    answerFirstRound(plan, shards);
    finish(plan, shards);
    CHECK(plan.merged() == expectedBest(shards, k));
    CHECK(plan.rounds() <= 2);
}

TEST_CASE("A document in two shards is returned once, with its best score", "[topk]")
{
    const auto seed = GENERATE(range(1U, 9U));
    INFO("seed " << seed);
    std::mt19937 random(seed);
    ShardHits shards = drawShards(random, 8, 400, 0.1);
    for (std::size_t shard = 1; shard < 4; ++shard) {
        shards[shard].insert(shards[shard].end(), shards[0].begin(), shards[0].end());
        sortHits(shards[shard]);
    }
    shards[5].push_back(Hit{shards[0].front().id, -1, ""});
    TopKPlan plan(60, shards.size());
    answerFirstRound(plan, shards);
    finish(plan, shards);
    CHECK(plan.merged() == expectedBest(shards, 60));
}

TEST_CASE("A shard without an answer does not affect the hits of the others", "[topk]")
{
    std::mt19937 random(7);
    ShardHits shards = drawShards(random, 10, 500, 0);
    TopKPlan plan(100, shards.size());
    for (std::size_t shard = 1; shard < shards.size(); ++shard) {
        REQUIRE(answer(plan, shards, {shard, 0, plan.firstLimit()}));
    }
    finish(plan, shards);
    CHECK_FALSE(plan.settled(0));
    CHECK(plan.settled(1));
    shards[0].clear();
    CHECK(plan.merged() == expectedBest(shards, 100));
}

TEST_CASE("A reply that does not match the request is not merged", "[topk]")
{
    TopKPlan plan(4, 1);
    const Hit a{"a", 9, ""};
    const Hit b{"b", 8, ""};
    const Hit c{"c", 7, ""};
    const Hit d{"d", 6, ""};
    REQUIRE(plan.firstLimit() == 4);
    struct Case
    {
        const char *what;
        std::size_t shard;
        std::uint32_t offset;
        std::vector<Hit> hits;
        std::uint64_t total;
    };
    const std::vector<Case> cases{
        {"an unknown shard", 1, 0, {a, b, c, d}, 9},
        {"another offset", 0, 1, {a, b, c, d}, 9},
        {"fewer than requested", 0, 0, {a, b, c}, 9},
        {"more than the total", 0, 0, {a, b, c, d}, 3},
        {"out of order", 0, 0, {b, a, c, d}, 9},
        {"a document twice", 0, 0, {a, a, c, d}, 9},
        {"a NaN score", 0, 0, {a, b, c, {"d", std::nan(""), ""}}, 9},
    };
    for (const Case &fault : cases) {
        INFO(fault.what);
        CHECK_FALSE(plan.add(fault.shard, fault.offset, fault.hits, fault.total));
        CHECK(plan.merged().empty());
    }
    CHECK(plan.add(0, 0, {a, b, c, d}, 9));
    CHECK_FALSE(plan.add(0, 0, {a, b, c, d}, 9));
    CHECK(plan.nextRequests().empty());
}
