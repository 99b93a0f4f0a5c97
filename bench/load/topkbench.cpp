#include "summary.h"

#include <burdock/policy/topkplan.h>
#include <burdock/wire/peermessage.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>

namespace Burdock
{

namespace
{

constexpr std::size_t ShardCount = 51;
constexpr std::size_t Documents = 51000;
constexpr std::size_t BodyBytes = 80;
constexpr double ServiceMilliseconds = 10;

using ShardHits = std::vector<std::vector<Hit>>;

/// Documents over shards; with `skew`, a shard's scores rise with its number.
ShardHits drawShards(std::mt19937_64 &random, double skew)
{
    ShardHits shards(ShardCount);
    std::uniform_int_distribution<std::size_t> anyShard(0, ShardCount - 1);
    std::exponential_distribution<> score(1);
    for (std::size_t i = 0; i < Documents; ++i) {
        const std::size_t shard = anyShard(random);
        const double raised = score(random) * (1 + skew * static_cast<double>(shard) / ShardCount);
        shards[shard].push_back(Hit{"document-" + std::to_string(i), raised, std::string(BodyBytes, 'x')});
    }
    for (auto &hits : shards) {
        std::sort(hits.begin(), hits.end(), ranksBefore);
    }
    return shards;
}

/// What one way of asking cost.
struct Carried
{
    double hits = 0;
    double bytes = 0;
    double rounds = 0;
    /// Service times drawn for each shard of each round, plus the measured time to encode and decode.
    double milliseconds = 0;
    std::vector<Hit> best;
};

/// Sends one shard's hits through the codec and hands them to the plan.
void carry(TopKPlan &plan, const ShardHits &shards, const TopKRequest &ask, Carried &carried)
{
    const auto &hits = shards[ask.shard];
    const auto begin = hits.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(ask.offset, hits.size()));
    SubReply reply;
    reply.total = hits.size();
    reply.hits.assign(begin, begin + std::min<std::ptrdiff_t>(ask.limit, hits.end() - begin));
    const std::string frame = encodeFrame({reply});
    auto decoded = decodeFrame(frame);
    auto &arrived = std::get<SubReply>(decoded->front());
    carried.hits += static_cast<double>(arrived.hits.size());
    carried.bytes += static_cast<double>(frame.size());
    plan.add(ask.shard, ask.offset, std::move(arrived.hits), arrived.total);
}

void carryRound(TopKPlan &plan, const ShardHits &shards, const std::vector<TopKRequest> &asks, std::mt19937_64 &random, Carried &carried)
{
    std::uniform_real_distribution<> spread(0.8, 1.2);
    double slowest = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (const TopKRequest &ask : asks) {
        carry(plan, shards, ask, carried);
        slowest = std::max(slowest, ServiceMilliseconds * spread(random));
    }
    const std::chrono::duration<double, std::milli> codec = std::chrono::steady_clock::now() - begin;
    carried.milliseconds += slowest + codec.count();
    carried.rounds += 1;
}

/// Asks in rounds; `first` hits of every shard in the first, 0 for the plan's own choice.
Carried askInRounds(const ShardHits &shards, std::uint32_t k, std::uint32_t first, std::mt19937_64 &random)
{
    TopKPlan plan = first == 0 ? TopKPlan(k, ShardCount) : TopKPlan(k, ShardCount, first);
    Carried carried;
    std::vector<TopKRequest> asks;
    for (std::size_t shard = 0; shard < ShardCount; ++shard) {
        asks.push_back({shard, 0, plan.firstLimit()});
    }
    for (; !asks.empty(); asks = plan.nextRequests()) {
        carryRound(plan, shards, asks, random, carried);
    }
    carried.best = plan.merged();
    return carried;
}

} // namespace

void benchTopK(const BenchOptions &options)
{
    for (const double skew : {0.0, 0.5, 3.0}) {
        for (const std::uint32_t k : {20U, 200U}) {
            Summary summary("top k: k " + std::to_string(k) + ", 51 shards, skew " + std::to_string(skew) + "; two rounds / all k of every shard");
            for (std::uint64_t seed = options.seed; seed < options.seed + options.seeds; ++seed) {
                std::mt19937_64 random(seed);
                const ShardHits shards = drawShards(random, skew);
                const Carried all = askInRounds(shards, k, k, random);
                const Carried rounds = askInRounds(shards, k, 0, random);
                summary.add("hits carried, ratio", rounds.hits / all.hits);
                summary.add("bytes carried, ratio", rounds.bytes / all.bytes);
                summary.add("latency, ratio", rounds.milliseconds / all.milliseconds);
                summary.add("hits carried, all k", all.hits);
                summary.add("hits carried, two rounds", rounds.hits);
                summary.add("rounds", rounds.rounds);
                summary.add("same answer", rounds.best == all.best ? 1 : 0);
            }
            summary.print();
        }
    }
}

} // namespace Burdock
