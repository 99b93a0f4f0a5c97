#include "holderloadmodel.h"
#include "summary.h"

namespace Burdock
{

namespace
{

constexpr Duration WarmUp = std::chrono::seconds(2);
constexpr Duration MeasuredTime = std::chrono::seconds(8);
constexpr Duration DrainTime = std::chrono::seconds(3);

struct HedgeRun
{
    std::vector<double> latenciesMs;
    double extraRequests = 0;
};

/// Measures complete answers from 51 shards, where one request in 100 is 20 times slower.
HedgeRun measureHedging(std::uint64_t seed, double load, double hedgeFraction)
{
    LoadModelSettings settings;
    settings.seed = seed;
    settings.slots = 5;
    settings.stragglerFraction = 0.01;
    settings.longestWait.fill(std::chrono::seconds(2));
    settings.leastCoverage.fill(1);
    settings.partialAllowed.fill(false);
    settings.tactics.hedgeFraction = hedgeFraction;
    settings.tactics.burst = hedgeFraction > 0 ? settings.tactics.burst : 0;
    LoadModel model(settings);
    const TimePoint begin = model.runtime.now() + WarmUp;
    model.arrive(Rank::Urgent, load * model.capacity(), WarmUp + MeasuredTime);
    model.runtime.advance(WarmUp);
    const QueryCounters before = model.counters();
    model.runtime.advance(MeasuredTime);
    const QueryCounters after = model.counters();
    model.runtime.advance(DrainTime);
    HedgeRun result;
    for (const LoadModelResult &query : model.results) {
        if (query.at >= begin) {
            result.latenciesMs.push_back(static_cast<double>(query.took.count()) / 1000);
        }
    }
    const double extraRequests = static_cast<double>(after.hedges + after.retries) - static_cast<double>(before.hedges + before.retries);
    result.extraRequests = extraRequests / (static_cast<double>(after.subRequests - before.subRequests) - extraRequests);
    return result;
}

} // namespace

void benchHedging(const BenchOptions &options)
{
    for (const double load : {0.3, 0.6}) {
        Summary summary("hedging: 51 shards, 1% stragglers of 20x, load " + std::to_string(load) + " of slot capacity; hedged / unhedged");
        for (std::uint64_t seed = options.seed; seed < options.seed + options.seeds; ++seed) {
            const HedgeRun unhedged = measureHedging(seed, load, 0);
            const HedgeRun hedged = measureHedging(seed, load, TacticsSettings().hedgeFraction);
            for (const auto &[name, fraction] : std::map<std::string, double>{{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}}) {
                summary.add(name + ", ratio", quantile(hedged.latenciesMs, fraction) / quantile(unhedged.latenciesMs, fraction));
                summary.add(name + ", ms, unhedged", quantile(unhedged.latenciesMs, fraction));
                summary.add(name + ", ms, hedged", quantile(hedged.latenciesMs, fraction));
            }
            summary.add("extra sub-requests, fraction", hedged.extraRequests);
            summary.add("queries", static_cast<double>(hedged.latenciesMs.size()));
        }
        summary.print();
    }
}

} // namespace Burdock
