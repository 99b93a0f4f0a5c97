#include "holderloadmodel.h"

#include <catch2/catch.hpp>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

/// A small fleet: 4 shards of 3 replicas with 2 slots, 120 queries a second at most.
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

struct Service
{
    std::size_t asked = 0;
    std::size_t answered = 0;

    double part() const
    {
        return asked == 0 ? 0 : static_cast<double>(answered) / static_cast<double>(asked);
    }
};

/// The service of a rank's queries that were asked in a span.
Service serviceIn(const LoadModel &model, Rank rank, TimePoint from, TimePoint to)
{
    Service service;
    for (const LoadModelResult &result : model.results) {
        if (result.rank == rank && result.at >= from && result.at < to) {
            ++service.asked;
            service.answered += result.answered ? 1 : 0;
        }
    }
    return service;
}

/// Part of sub-requests that were hedges or retries.
double extraPart(const QueryCounters &before, const QueryCounters &after)
{
    const double extra = static_cast<double>(after.hedges + after.retries) - static_cast<double>(before.hedges + before.retries);
    const double all = static_cast<double>(after.subRequests - before.subRequests);
    return extra / (all - extra);
}

} // namespace

TEST_CASE("A lost server group and a flood at once do not outlast themselves", "[metastable]")
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
    CHECK(extraPart(before, after) <= budgets.hedgePart + budgets.retryPart + 0.01);
    for (const Rank rank : AllRanks) {
        INFO(rankName(rank));
        CHECK(serviceIn(model, rank, begin, begin + 10s).part() >= 0.99);
        CHECK(serviceIn(model, rank, begin + 30s, begin + 60s).part() >= 0.99);
    }
}

TEST_CASE("A replica that says nothing gets little work, though hedges hide it", "[tactics][replica]")
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
