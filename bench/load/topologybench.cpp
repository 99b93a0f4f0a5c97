#include "holderloadmodel.h"
#include "summary.h"

#include <ctime>

namespace Burdock
{

namespace
{

constexpr std::size_t Shards = 12;
constexpr std::uint32_t Slots = 5;
constexpr double UrgentLoad = 0.2;
constexpr double BatchLoad = 1.5;
constexpr Duration LoadTime = std::chrono::seconds(6);
constexpr Duration DrainTime = std::chrono::seconds(6);
constexpr Duration MaxServiceTime = std::chrono::milliseconds(12);

struct TopologyRun
{
    std::vector<double> urgentMilliseconds;
    double urgentAnswered = 0;
    double batchAnswered = 0;
    double inversions = 0;
    double sheds = 0;
    double connections = 0;
    double processorMicroseconds = 0;
};

/// Urgent load of a fifth of the slots together with the given batch load; 1.5 exceeds the capacity.
TopologyRun run(std::uint64_t seed, std::size_t entries, bool holders, double batchLoad)
{
    LoadModelSettings settings;
    settings.seed = seed;
    settings.shards = Shards;
    settings.slots = Slots;
    settings.entries = entries;
    settings.holders = holders;
    LoadModel model(settings);
    for (const ServerId &server : model.servers()) {
        model.backend.servers[server].slots = Slots;
        model.backend.servers[server].backlog = Slots;
    }
    const std::clock_t before = std::clock();
    model.arrive(Rank::Urgent, UrgentLoad * model.capacity(), LoadTime);
    model.arrive(Rank::Batch, batchLoad * model.capacity(), LoadTime);
    model.runtime.advance(LoadTime + DrainTime);
    const double seconds = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;

    TopologyRun result;
    double urgent = 0;
    double batch = 0;
    for (const LoadModelResult &query : model.results) {
        (query.rank == Rank::Urgent ? urgent : batch) += 1;
        (query.rank == Rank::Urgent ? result.urgentAnswered : result.batchAnswered) += query.answered ? 1 : 0;
        if (query.rank == Rank::Urgent) {
            result.urgentMilliseconds.push_back(static_cast<double>(query.took.count()) / 1000);
        }
    }
    result.urgentAnswered /= urgent;
    result.batchAnswered /= batch;
    for (const Duration inverted : model.inversions[rankIndex(Rank::Urgent)]) {
        result.inversions += inverted > MaxServiceTime ? 1 : 0;
    }
    result.sheds = static_cast<double>(model.backend.sheds);
    result.connections = holders ? Slots : static_cast<double>(entries * std::max<std::size_t>(Slots / entries, 1));
    result.processorMicroseconds = seconds * 1e6 / static_cast<double>(model.counters().subRequests);
    return result;
}

void addFigures(Summary &summary, const std::string &variant, const TopologyRun &run)
{
    summary.add("connections to one server, " + variant, run.connections);
    summary.add("inversions over one service time, " + variant, run.inversions);
    summary.add("sheds, " + variant, run.sheds);
    summary.add("urgent answered, fraction, " + variant, run.urgentAnswered);
    summary.add("batch answered, fraction, " + variant, run.batchAnswered);
    summary.add("urgent p50, ms, " + variant, quantile(run.urgentMilliseconds, 0.5));
    summary.add("urgent p99, ms, " + variant, quantile(run.urgentMilliseconds, 0.99));
    summary.add("processor time of the model, us a sub-request, " + variant, run.processorMicroseconds);
}

} // namespace

void benchTopology(const BenchOptions &options)
{
    for (const double batchLoad : {0.3, BatchLoad}) {
        for (const std::size_t entries : {std::size_t{3}, std::size_t{7}, std::size_t{28}}) {
            Summary summary("topology: " + std::to_string(entries) + " entries, 5 slots a server, urgent load 0.2, batch load " + std::to_string(batchLoad));
            for (std::uint64_t seed = options.seed; seed < options.seed + options.seeds; ++seed) {
                const TopologyRun direct = run(seed, entries, false, batchLoad);
                const TopologyRun viaHolders = run(seed, entries, true, batchLoad);
                addFigures(summary, "direct", direct);
                addFigures(summary, "holder", viaHolders);
                summary.add("urgent p50, holder / direct", quantile(viaHolders.urgentMilliseconds, 0.5) / quantile(direct.urgentMilliseconds, 0.5));
                summary.add("urgent p99, holder / direct", quantile(viaHolders.urgentMilliseconds, 0.99) / quantile(direct.urgentMilliseconds, 0.99));
            }
            summary.print();
        }
    }
}

} // namespace Burdock
