#include "holderloadmodel.h"
#include "summary.h"

namespace Burdock
{

namespace
{

constexpr std::size_t Shards = 12;
constexpr std::uint32_t Slots = 5;
/// Load of each rank outside a flood, as a fraction of slot capacity.
constexpr double BaselineLoad = 0.15;
constexpr Duration PhaseDuration = std::chrono::seconds(10);
constexpr Duration WarmUp = std::chrono::seconds(5);
/// Time after the end of a flood within which service must be back to normal.
constexpr Duration RecoveryTime = std::chrono::seconds(10);
constexpr Duration FinalDuration = std::chrono::seconds(10);

struct Scenario
{
    std::string name;
    PerRank<double> floodLoad;
    bool loseThirdOfReplicas = false;
};

struct RankService
{
    double sent = 0;
    double answered = 0;
    std::vector<double> latenciesMs;
};

using PhaseService = PerRank<RankService>;

PhaseService serviceBetween(const LoadModel &model, TimePoint from, TimePoint to)
{
    PhaseService service;
    for (const LoadModelResult &query : model.results) {
        if (query.at >= from && query.at < to) {
            RankService &rank = service[rankIndex(query.rank)];
            rank.sent += 1;
            rank.answered += query.answered ? 1 : 0;
            if (query.answered) {
                rank.latenciesMs.push_back(static_cast<double>(query.took.count()) / 1000);
            }
        }
    }
    return service;
}

void addRanks(Summary &summary, const std::string &phase, const PhaseService &service, const PhaseService &before, double capacityPerSecond)
{
    for (const Rank rank : AllRanks) {
        const RankService &rankService = service[rankIndex(rank)];
        const std::string name = phase + " " + std::string(rankName(rank)) + ": ";
        summary.add(name + "answered, fraction", rankService.answered / rankService.sent);
        summary.add(name + "p50, ms", quantile(rankService.latenciesMs, 0.5));
        summary.add(name + "p99, ms", quantile(rankService.latenciesMs, 0.99));
        summary.add(name + "p99, ratio to before", quantile(rankService.latenciesMs, 0.99) / quantile(before[rankIndex(rank)].latenciesMs, 0.99));
        if (phase == "during") {
            summary.add(name + "answered, ratio to capacity", rankService.answered / (capacityPerSecond * static_cast<double>(PhaseDuration.count()) / 1e6));
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
        model.arrive(rank, BaselineLoad * model.capacity(), WarmUp + 2 * PhaseDuration + RecoveryTime + FinalDuration);
    }
    model.runtime.advance(WarmUp + PhaseDuration);
    const QueryCounters before = model.counters();
    for (PerRank<double>::size_type index = 0; index < RankCount; ++index) {
        if (scenario.floodLoad[index] > 0) {
            model.arrive(AllRanks[index], scenario.floodLoad[index] * model.capacity(), PhaseDuration);
        }
    }
    const auto setLostServerMode = [&](ModelServer::Mode mode) {
        for (std::size_t i = 0; scenario.loseThirdOfReplicas && i < servers.size() / 3; ++i) {
            model.backend.servers[servers[i]].mode = mode;
        }
    };
    setLostServerMode(ModelServer::Mode::Unreachable);
    model.runtime.advance(PhaseDuration);
    const QueryCounters after = model.counters();
    setLostServerMode(ModelServer::Mode::Answers);
    model.runtime.advance(RecoveryTime + FinalDuration + PhaseDuration);

    const PhaseService baseline = serviceBetween(model, start, start + PhaseDuration);
    addRanks(summary, "during", serviceBetween(model, start + PhaseDuration, start + 2 * PhaseDuration), baseline, model.capacity());
    addRanks(summary,
             "later",
             serviceBetween(model, start + 2 * PhaseDuration + RecoveryTime, start + 2 * PhaseDuration + RecoveryTime + FinalDuration),
             baseline,
             model.capacity());
    addRanks(summary, "before", baseline, baseline, model.capacity());
    const double extra = static_cast<double>(after.hedges + after.retries) - static_cast<double>(before.hedges + before.retries);
    summary.add("during, extra sub-requests, fraction", extra / (static_cast<double>(after.subRequests - before.subRequests) - extra));
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
