/// Compares ways to distribute a configuration: all instances watch the store, all poll it, or a few watch and peers
/// forward it. Runs the configuration logic of N instances on a manual clock over an in-memory store; see
/// docs/measurements/spreading.md.
///
///     spreadbench [SEED [INSTANCES...]]

#include "../../packages/daemon/tests/configfleet.h"

#include <burdock/declarations/checkdeclarations.h>
#include <burdock/declarations/collector.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

using namespace Burdock;

namespace
{

constexpr std::size_t DataCentres = 3;
constexpr int Changes = 25;
constexpr Duration IdleTime = std::chrono::seconds(120);
constexpr Duration Timeout = std::chrono::seconds(120);

struct Strategy
{
    const char *name;
    void (*prepare)(ConfigFleet &fleet);
};

/// Disables distribution through peers: probes are still sent but carry no versions.
void disablePeerVersions(ConfigFleet &fleet)
{
    fleet.probesCarryVersions = false;
    fleet.settings.announceFanout = 0;
}

const Strategy Strategies[] = {
    {"all watch",
     [](ConfigFleet &fleet) {
         disablePeerVersions(fleet);
         fleet.watchers = ConfigFleet::Watchers::All;
         fleet.settings.watcherPollInterval = fleet.settings.pollInterval;
     }},
    {"all poll 2 s",
     [](ConfigFleet &fleet) {
         disablePeerVersions(fleet);
         fleet.watchers = ConfigFleet::Watchers::None;
         fleet.settings.pollInterval = fleet.settings.watcherPollInterval;
     }},
    {"few watchers, probes", [](ConfigFleet &fleet) { fleet.settings.announceFanout = 0; }},
    {"few watchers, probes, announcements", [](ConfigFleet &) {}},
};

/// Figures of one run, with bytes per node and change, and times in seconds.
struct Figures
{
    std::vector<double> idleCallsPerSecond;
    std::vector<double> callsPerChange;
    std::vector<double> bytesPerNode;
    std::vector<double> secondsToLast;
    std::vector<double> callsAfterOutage;
    std::vector<double> secondsAfterOutage;
};

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[values.size() / 2];
}

std::string formatMinMedianMax(const std::vector<double> &values)
{
    char text[80];
    std::snprintf(text,
                  sizeof text,
                  "%.3g / %.3g / %.3g",
                  *std::min_element(values.begin(), values.end()),
                  median(values),
                  *std::max_element(values.begin(), values.end()));
    return text;
}

std::uint64_t storeCalls(const ConfigFleet &fleet)
{
    return fleet.store.reads + fleet.store.watches;
}

double meanBytesPerNode(const ConfigFleet &fleet)
{
    std::uint64_t bytes = fleet.store.bytesRead;
    for (const auto &node : fleet.nodes) {
        bytes += node->distributor->counters().bytesSent;
    }
    return static_cast<double>(bytes) / static_cast<double>(fleet.nodes.size());
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// The example deployment with a comment added to one file, for a small change.
DeclarationSet modifiedExample(const DeclarationSet &example, std::uint64_t version)
{
    auto files = example.files();
    auto &file = files.at("teams/technicians.toml");
    file = DeclarationFile("# change " + std::to_string(version) + "\n" + file.text());
    return DeclarationSet(std::move(files));
}

Figures measure(const Strategy &strategy, std::size_t instances, unsigned seed, const DeclarationSet &example)
{
    ConfigFleet fleet(instances, DataCentres, seed);
    strategy.prepare(fleet);
    fleet.startAll();
    std::uint64_t version = 1;
    fleet.writeUnchecked(version, modifiedExample(example, version));
    fleet.timeUntil([&] { return fleet.allHave(version); }, Timeout);
    Figures figures;
    const std::uint64_t before = storeCalls(fleet);
    fleet.runtime.advance(IdleTime);
    figures.idleCallsPerSecond.push_back(static_cast<double>(storeCalls(fleet) - before) / seconds(IdleTime));
    for (int i = 0; i < Changes; ++i) {
        fleet.runtime.advance(std::chrono::milliseconds(3000 + fleet.random() % 4000));
        const std::uint64_t callsBefore = storeCalls(fleet);
        const double bytesBefore = meanBytesPerNode(fleet);
        ++version;
        fleet.writeUnchecked(version, modifiedExample(example, version));
        figures.secondsToLast.push_back(seconds(fleet.timeUntil([&] { return fleet.allHave(version); }, Timeout)));
        figures.callsPerChange.push_back(static_cast<double>(storeCalls(fleet) - callsBefore));
        figures.bytesPerNode.push_back(meanBytesPerNode(fleet) - bytesBefore);
    }
    for (int i = 0; i < Changes; ++i) {
        fleet.store.beginOutage();
        fleet.runtime.advance(std::chrono::milliseconds(20000 + fleet.random() % 4000));
        fleet.store.outage = false;
        const std::uint64_t callsBefore = storeCalls(fleet);
        ++version;
        fleet.writeUnchecked(version, modifiedExample(example, version));
        figures.secondsAfterOutage.push_back(seconds(fleet.timeUntil([&] { return fleet.allHave(version); }, Timeout)));
        fleet.runtime.advance(std::chrono::seconds(1));
        figures.callsAfterOutage.push_back(static_cast<double>(storeCalls(fleet) - callsBefore));
    }
    return figures;
}

/// Slope of the least-squares line through the points.
double slope(const std::vector<double> &x, const std::vector<double> &y)
{
    double sumX = 0, sumY = 0, sumXX = 0, sumXY = 0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        sumX += x[i];
        sumY += y[i];
        sumXX += x[i] * x[i];
        sumXY += x[i] * y[i];
    }
    const auto count = static_cast<double>(x.size());
    return (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
}

void compare(unsigned seed, const std::vector<std::size_t> &sizes, const DeclarationSet &example)
{
    std::printf("| way | instances | store calls/s at rest | store calls per change | bytes per node and change | s to last instance | store calls on "
                "return | s to last on return |\n|---|---|---|---|---|---|---|---|\n");
    for (const Strategy &strategy : Strategies) {
        std::vector<double> x, idleCalls, perChange, bytes, time;
        for (const std::size_t size : sizes) {
            const Figures figures = measure(strategy, size, seed, example);
            std::printf("| %s | %zu | %.3g | %s | %s | %s | %s | %s |\n",
                        strategy.name,
                        size,
                        figures.idleCallsPerSecond[0],
                        formatMinMedianMax(figures.callsPerChange).c_str(),
                        formatMinMedianMax(figures.bytesPerNode).c_str(),
                        formatMinMedianMax(figures.secondsToLast).c_str(),
                        formatMinMedianMax(figures.callsAfterOutage).c_str(),
                        formatMinMedianMax(figures.secondsAfterOutage).c_str());
            std::fflush(stdout);
            x.push_back(static_cast<double>(size));
            idleCalls.push_back(figures.idleCallsPerSecond[0]);
            perChange.push_back(median(figures.callsPerChange));
            bytes.push_back(median(figures.bytesPerNode));
            time.push_back(median(figures.secondsToLast));
        }
        if (sizes.size() < 2) {
            continue;
        }
        std::printf("| %s, slope per instance | | %.3g | %.3g | %.3g | %.3g | | |\n",
                    strategy.name,
                    slope(x, idleCalls),
                    slope(x, perChange),
                    slope(x, bytes),
                    slope(x, time));
    }
}

/// Measures the time to check a whole declaration set, by number of files.
void measureChecks(const DeclarationSet &example)
{
    constexpr int Runs = 21;
    for (const std::size_t copies : {1U, 10U, 50U}) {
        std::map<std::string, DeclarationFile> files = example.files();
        for (std::size_t copy = 1; copy < copies; ++copy) {
            for (const auto &[name, file] : example.files()) {
                if (name.rfind("teams/", 0) == 0) {
                    std::string text = file.text();
                    for (std::size_t at = text.find("callers = [\""); at != std::string::npos; at = text.find("callers = [\"", at + 1)) {
                        const std::size_t end = text.find(']', at);
                        std::string list = text.substr(at, end - at);
                        for (std::size_t quote = list.find('"', 11); quote != std::string::npos; quote = list.find(", \"", quote + 1)) {
                            list.insert(list[quote] == ',' ? quote + 3 : quote + 1, "c" + std::to_string(copy) + "-");
                        }
                        text.replace(at, end - at, list);
                    }
                    files.emplace("copy" + std::to_string(copy) + "/" + name, DeclarationFile(text));
                }
            }
        }
        const DeclarationSet set(std::move(files));
        std::vector<double> elapsedMs;
        bool valid = true;
        for (int run = 0; run < Runs; ++run) {
            const auto startedAt = std::chrono::steady_clock::now();
            valid = checkDeclarations(set, 1).has_value() && valid;
            elapsedMs.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - startedAt).count());
        }
        std::printf(
            "check of %zu files, ms (min / median / max): %s%s\n", set.files().size(), formatMinMedianMax(elapsedMs).c_str(), valid ? "" : " (has faults)");
    }
}

} // namespace

int main(int argc, char *argv[])
{
    const unsigned seed = argc > 1 ? static_cast<unsigned>(std::strtoul(argv[1], nullptr, 10)) : 1;
    std::vector<std::size_t> sizes;
    for (int argument = 2; argument < argc; ++argument) {
        sizes.push_back(std::max<std::size_t>(std::strtoul(argv[argument], nullptr, 10), 2));
    }
    if (sizes.empty()) {
        sizes = {7, 20, 60, 200};
    }
    const auto example = collectDeclarations(std::string(BURDOCK_EXAMPLES) + "/pereyra-hermanos");
    if (!example) {
        std::fprintf(stderr, "%s\n", example.error().message.c_str());
        return 1;
    }
    std::printf("seed %u, %d changes, figures as min / median / max\n\n", seed, Changes);
    compare(seed, sizes, *example);
    measureChecks(*example);
    return 0;
}
