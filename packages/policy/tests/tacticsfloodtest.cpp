#include "holderloadmodel.h"

#include <catch2/catch.hpp>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

/// A small fleet: 4 shards with 3 replicas of 2 slots, for at most 120 queries per second.
LoadModelSettings smallFleet(std::uint64_t seed)
{
    LoadModelSettings settings;
    settings.seed = seed;
    settings.shards = 4;
    settings.entries = 2;
    settings.slots = 2;
    settings.service = 50ms;
    settings.floors = {0.5, 0.2, 0.1};
    settings.longestWait = {400ms, 1s, 5s};
    return settings;
}

struct QueryCounts
{
    std::size_t total = 0;
    std::size_t answered = 0;

    double fraction() const
    {
        return total == 0 ? 0 : static_cast<double>(answered) / static_cast<double>(total);
    }
};

/// Counts the queries of a rank that arrived from `from` until `to`, and those that were answered.
QueryCounts countQueries(const LoadModel &model, Rank rank, TimePoint from, TimePoint to)
{
    QueryCounts counts;
    for (const LoadModelResult &result : model.results) {
        if (result.rank == rank && result.at >= from && result.at < to) {
            ++counts.total;
            counts.answered += result.answered ? 1 : 0;
        }
    }
    return counts;
}

/// Hedges and retries as a fraction of first attempts.
double extraFraction(const QueryCounters &before, const QueryCounters &after)
{
    const double extra = static_cast<double>(after.hedges + after.retries) - static_cast<double>(before.hedges + before.retries);
    const double all = static_cast<double>(after.subRequests - before.subRequests);
    return extra / (all - extra);
}

} // namespace

TEST_CASE("Service recovers after a third of the servers fails during an overload", "[metastable]")
{
    const std::uint64_t seed = GENERATE(1, 2);
    const Rank flooding = GENERATE(Rank::Urgent, Rank::Batch);
    INFO("seed " << seed << " flood of " << rankName(flooding));
    LoadModel model(smallFleet(seed));
    const std::vector<ServerId> servers = model.servers();
    const TimePoint begin = model.runtime.now();
    for (const Rank rank : AllRanks) {
        model.arrive(rank, model.capacity() / 6, 60s);
    }
    model.runtime.advance(10s);
    const QueryCounters before = model.counters();
    for (std::size_t i = 0; i < servers.size() / 3; ++i) {
        model.backend.servers[servers[i]].mode = ModelServer::Mode::FailsAtOnce;
    }
    model.arrive(flooding, 5 * model.capacity(), 10s);
    model.runtime.advance(10s);
    const QueryCounters after = model.counters();
    for (const ServerId &server : servers) {
        model.backend.servers[server].mode = ModelServer::Mode::Answers;
    }
    model.runtime.advance(40s);

    const TacticsSettings budgets;
    CHECK(extraFraction(before, after) <= budgets.hedgeFraction + budgets.retryFraction + 0.01);
    for (const Rank rank : AllRanks) {
        INFO(rankName(rank));
        CHECK(countQueries(model, rank, begin, begin + 10s).fraction() >= 0.99);
        CHECK(countQueries(model, rank, begin + 30s, begin + 60s).fraction() >= 0.99);
    }
}

TEST_CASE("A silent replica gets few requests, although hedges hide its silence", "[tactics][replica]")
{
    LoadModelSettings settings = smallFleet(1);
    settings.shards = 1;
    LoadModel model(settings);
    model.backend.servers[model.servers().front()].mode = ModelServer::Mode::Silent;
    model.backend.recordDispatches = true;
    model.arrive(Rank::Interactive, 40, 20s);
    model.runtime.advance(10s);
    model.backend.dispatches.clear();
    model.runtime.advance(10s);
    const auto silent = std::count_if(model.backend.dispatches.begin(), model.backend.dispatches.end(), [&](const ModelDispatch &sent) {
        return sent.request.server == model.servers().front();
    });
    CHECK(static_cast<double>(silent) < 0.05 * static_cast<double>(model.backend.dispatches.size()));
}
