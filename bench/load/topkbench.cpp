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
constexpr std::size_t HitBodyBytes = 80;
constexpr double ServiceMilliseconds = 10;

using ShardHits = std::vector<std::vector<Hit>>;

/// Distributes documents over shards at random; with `skew`, scores increase with the shard's index.
ShardHits drawShards(std::mt19937_64 &random, double skew)
{
    ShardHits shards(ShardCount);
    std::uniform_int_distribution<std::size_t> anyShard(0, ShardCount - 1);
    std::exponential_distribution<> score(1);
    for (std::size_t i = 0; i < Documents; ++i) {
        const std::size_t shard = anyShard(random);
        const double scaledScore = score(random) * (1 + skew * static_cast<double>(shard) / ShardCount);
        shards[shard].push_back(Hit{"document-" + std::to_string(i), scaledScore, std::string(HitBodyBytes, 'x')});
    }
    for (auto &hits : shards) {
        std::sort(hits.begin(), hits.end(), ranksBefore);
    }
    return shards;
}

/// Cost of one query strategy and the hits that it found.
struct TransferCost
{
    double hits = 0;
    double bytes = 0;
    double rounds = 0;
    /// Slowest service time drawn in each round, plus the measured time to encode and decode.
    double milliseconds = 0;
    std::vector<Hit> topHits;
};

/// Encodes and decodes one shard's hits and adds them to the plan.
void transferHits(TopKPlan &plan, const ShardHits &shards, const TopKRequest &request, TransferCost &transfer)
{
    const auto &hits = shards[request.shard];
    const auto begin = hits.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(request.offset, hits.size()));
    SubReply reply;
    reply.total = hits.size();
    reply.hits.assign(begin, begin + std::min<std::ptrdiff_t>(request.limit, hits.end() - begin));
    const std::string frame = encodeFrame({reply});
    auto decoded = decodeFrame(frame);
    auto &received = std::get<SubReply>(decoded->front());
    transfer.hits += static_cast<double>(received.hits.size());
    transfer.bytes += static_cast<double>(frame.size());
    plan.add(request.shard, request.offset, std::move(received.hits), received.total);
}

void transferRound(TopKPlan &plan, const ShardHits &shards, const std::vector<TopKRequest> &requests, std::mt19937_64 &random, TransferCost &transfer)
{
    std::uniform_real_distribution<> jitter(0.8, 1.2);
    double slowest = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (const TopKRequest &request : requests) {
        transferHits(plan, shards, request, transfer);
        slowest = std::max(slowest, ServiceMilliseconds * jitter(random));
    }
    const std::chrono::duration<double, std::milli> codec = std::chrono::steady_clock::now() - begin;
    transfer.milliseconds += slowest + codec.count();
    transfer.rounds += 1;
}

/// Queries in rounds, with `firstLimitOverride` hits of every shard in the first round; 0 uses the plan's default.
TransferCost queryInRounds(const ShardHits &shards, std::uint32_t k, std::uint32_t firstLimitOverride, std::mt19937_64 &random)
{
    TopKPlan plan = firstLimitOverride == 0 ? TopKPlan(k, ShardCount) : TopKPlan(k, ShardCount, firstLimitOverride);
    TransferCost transfer;
    std::vector<TopKRequest> requests;
    for (std::size_t shard = 0; shard < ShardCount; ++shard) {
        requests.push_back({shard, 0, plan.firstLimit()});
    }
    for (; !requests.empty(); requests = plan.nextRequests()) {
        transferRound(plan, shards, requests, random, transfer);
    }
    transfer.topHits = plan.merged();
    return transfer;
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
                const TransferCost all = queryInRounds(shards, k, k, random);
                const TransferCost rounds = queryInRounds(shards, k, 0, random);
                summary.add("hits received, ratio", rounds.hits / all.hits);
                summary.add("bytes received, ratio", rounds.bytes / all.bytes);
                summary.add("latency, ratio", rounds.milliseconds / all.milliseconds);
                summary.add("hits received, all k", all.hits);
                summary.add("hits received, two rounds", rounds.hits);
                summary.add("rounds", rounds.rounds);
                summary.add("same answer", rounds.topHits == all.topHits ? 1 : 0);
            }
            summary.print();
        }
    }
}

} // namespace Burdock
