#include "holderloadmodel.h"
#include "summary.h"

namespace Burdock
{

namespace
{

constexpr std::size_t Shards = 12;
constexpr std::uint32_t Slots = 5;
/// Load of each rank while nothing floods, as a part of slot capacity.
constexpr double UsualLoad = 0.15;
constexpr Duration Phase = std::chrono::seconds(10);
constexpr Duration WarmUp = std::chrono::seconds(5);
/// Service has to be normal so long after the end of a trigger.
constexpr Duration ReturnTime = std::chrono::seconds(10);
constexpr Duration After = std::chrono::seconds(10);

struct Scenario
{
    std::string name;
    PerRank<double> flood;
    bool loseThird = false;
};

struct RankService
{
    double asked = 0;
    double answered = 0;
    std::vector<double> milliseconds;
};

using PhaseService = PerRank<RankService>;

PhaseService serviceIn(const LoadModel &model, TimePoint from, TimePoint to)
{
    PhaseService service;
    for (const LoadModelResult &query : model.results) {
        if (query.at >= from && query.at < to) {
            RankService &rank = service[rankIndex(query.rank)];
            rank.asked += 1;
            rank.answered += query.answered ? 1 : 0;
            if (query.answered) {
                rank.milliseconds.push_back(static_cast<double>(query.took.count()) / 1000);
            }
        }
    }
    return service;
}

void addRanks(Summary &summary, const std::string &phase, const PhaseService &service, const PhaseService &before, double floorPerSecond)
{
    for (const Rank rank : AllRanks) {
        const RankService &is = service[rankIndex(rank)];
        const std::string name = phase + " " + std::string(rankName(rank)) + ": ";
        summary.add(name + "answered, part", is.answered / is.asked);
        summary.add(name + "p50, ms", quantileOf(is.milliseconds, 0.5));
        summary.add(name + "p99, ms", quantileOf(is.milliseconds, 0.99));
        summary.add(name + "p99, ratio to before", quantileOf(is.milliseconds, 0.99) / quantileOf(before[rankIndex(rank)].milliseconds, 0.99));
        if (phase == "during") {
            summary.add(name + "answered, ratio to capacity", is.answered / (floorPerSecond * static_cast<double>(Phase.count()) / 1e6));
        }
    }
}

void runScenario(const Scenario &scenario, std::uint64_t seed, Summary &summary)
{
    LoadModelSettings settings;
    settings.seed = seed;
    settings.shards = Shards;
    settings.slots = Slots;
    LoadModel model(settings);
    const std::vector<ServerId> servers = model.servers();
    for (const ServerId &server : servers) {
        model.backend.servers[server].slots = Slots;
        model.backend.servers[server].backlog = Slots;
    }
    const TimePoint start = model.runtime.now() + WarmUp;
    for (const Rank rank : AllRanks) {
        model.arrive(rank, UsualLoad * model.capacity(), WarmUp + 2 * Phase + ReturnTime + After);
    }
    model.runtime.advance(WarmUp + Phase);
    const QueryCounters before = model.counters();
    for (PerRank<double>::size_type place = 0; place < RankCount; ++place) {
        if (scenario.flood[place] > 0) {
            model.arrive(AllRanks[place], scenario.flood[place] * model.capacity(), Phase);
        }
    }
    const auto setLost = [&](ModelServer::Mode mode) {
        for (std::size_t i = 0; scenario.loseThird && i < servers.size() / 3; ++i) {
            model.backend.servers[servers[i]].mode = mode;
        }
    };
    setLost(ModelServer::Mode::Unreachable);
    model.runtime.advance(Phase);
    const QueryCounters after = model.counters();
    setLost(ModelServer::Mode::Answers);
    model.runtime.advance(ReturnTime + After + Phase);

    const PhaseService usual = serviceIn(model, start, start + Phase);
    addRanks(summary, "during", serviceIn(model, start + Phase, start + 2 * Phase), usual, model.capacity());
    addRanks(summary, "later", serviceIn(model, start + 2 * Phase + ReturnTime, start + 2 * Phase + ReturnTime + After), usual, model.capacity());
    addRanks(summary, "before", usual, usual, model.capacity());
    const double extra = static_cast<double>(after.hedges + after.retries) - static_cast<double>(before.hedges + before.retries);
    summary.add("during, extra sub-requests, part", extra / (static_cast<double>(after.subRequests - before.subRequests) - extra));
    double inverted = 0;
    for (const Duration span : model.inversions[rankIndex(Rank::Urgent)]) {
        inverted += span > std::chrono::milliseconds(12) ? 1 : 0;
    }
    summary.add("urgent inversions over one service time", inverted);
}

} // namespace

void benchFloods(const BenchOptions &options)
{
    const std::vector<Scenario> scenarios{
        {"batch flood of 5x", {0, 0, 5}},
        {"batch flood of 20x", {0, 0, 20}},
        {"urgent flood of 5x", {5, 0, 0}},
        {"urgent flood of 20x", {20, 0, 0}},
        {"urgent and batch floods of 5x", {5, 0, 5}},
        {"urgent and batch floods of 5x, a third of replicas lost", {5, 0, 5}, true},
    };
    for (const Scenario &scenario : scenarios) {
        Summary summary("floods: " + scenario.name + "; 12 shards, floors 0.5, 0.2, 0.1");
        for (std::uint64_t seed = options.seed; seed < options.seed + options.seeds; ++seed) {
            runScenario(scenario, seed, summary);
        }
        summary.print();
    }
}

} // namespace Burdock
