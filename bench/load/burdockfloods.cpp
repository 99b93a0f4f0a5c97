/// burdock-floods: starts a deployment of real processes and subjects it to floods and outages.

#include "loadrun.h"
#include "testbed.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace Burdock;
using nlohmann::json;

namespace
{

constexpr ConnectionLimits Limits{3000, 3000, std::size_t{8} * 1024 * 1024};
constexpr Duration PhaseDuration = std::chrono::seconds(8);
constexpr Duration RecoveryDuration = std::chrono::seconds(10);
/// Capacity of the slots in queries per second: 3 replicas of 5 slots, 80 ms per request.
constexpr double CapacityPerSecond = 187.5;
constexpr double BaselineLoad = 0.12;
constexpr int ShardCount = 12;
constexpr const char *ServiceMs = "80";

/// Load by rank during the flood, as a multiple of capacity, and the outages at the same time.
struct FloodScenario
{
    std::string name;
    std::map<std::string, double> floodLoads;
    bool loseThirdOfReplicas = false;
    bool storeOutage = false;
};

const std::vector<FloodScenario> Scenarios{
    {"batch 5x", {{"batch", 5}}},
    {"batch 20x", {{"batch", 20}}},
    {"urgent 5x", {{"urgent", 5}}},
    {"both 5x", {{"urgent", 5}, {"batch", 5}}},
    {"both 5x, third of replicas lost", {{"urgent", 5}, {"batch", 5}}, true},
    {"both 5x, store out", {{"urgent", 5}, {"batch", 5}}, false, true},
};

LoadPlan makePlan(const FloodScenario &scenario, std::uint64_t seed)
{
    LoadPlan plan;
    plan.seed = seed;
    plan.callers = {
        {"shaft-head", "helmets", "urgent", BaselineLoad * CapacityPerSecond, std::chrono::milliseconds(500)},
        {"inspectors", "helmets", "interactive", BaselineLoad * CapacityPerSecond, std::chrono::seconds(2)},
        {"recall-desk", "helmets", "batch", BaselineLoad * CapacityPerSecond, std::chrono::seconds(10)},
    };
    std::map<std::string, double> rateFactors;
    for (const auto &[rank, floodLoad] : scenario.floodLoads) {
        rateFactors[rank] = floodLoad / BaselineLoad;
    }
    plan.phases = {{"warm-up", PhaseDuration / 2, {}},
                   {"before", PhaseDuration, {}},
                   {"during", PhaseDuration, rateFactors},
                   {"return", RecoveryDuration, {}},
                   {"after", PhaseDuration, {}}};
    return plan;
}

void setFaults(Testbed &testbed, const FloodScenario &scenario, bool on)
{
    if (scenario.loseThirdOfReplicas) {
        json ids = json::array();
        for (int shard = 0; shard < ShardCount; ++shard) {
            ids.push_back("desk-" + std::to_string(shard) + "-0");
        }
        testbed.control("POST", "/fake/faults", {{"target", "server"}, {"ids", ids}, {"transport", {{"outage", on ? "refuse" : "none"}}}});
    }
    if (scenario.storeOutage) {
        testbed.control("POST", "/fake/faults", {{"target", "store"}, {"transport", {{"outage", on ? "refuse" : "none"}}}});
    }
}

void runScenario(const FloodScenario &scenario, std::uint64_t seed)
{
    Testbed testbed(BURDOCK_BENCH_DECLARATIONS, {"gauteng"}, {"--service-ms", ServiceMs});
    const std::vector<std::string> instances{"a", "b", "c"};
    for (const std::string &id : instances) {
        testbed.startInstance(id, "gauteng");
    }
    if (testbed.publish() != 0 || !testbed.waitUntilReady()) {
        std::cerr << "the deployment did not start\n";
        return;
    }
    LoadPlan plan = makePlan(scenario, seed);
    for (const std::string &id : instances) {
        plan.entries.push_back(testbed.callersAddress(id));
    }
    const auto client = makeHttpClient(testbed.loop(), Limits);
    LoadRun run(testbed.loop(), *client, plan);
    run.setPhaseHandler([&](std::size_t phase) {
        if (plan.phases[phase].name == "during" || plan.phases[phase].name == "return") {
            setFaults(testbed, scenario, plan.phases[phase].name == "during");
        }
    });
    run.run();
    json report = run.report();
    report["trigger"] = scenario.name;
    std::cout << report.dump() << std::endl;
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const std::string scenarioName = argc > 2 ? argv[2] : "";
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const FloodScenario &scenario : Scenarios) {
            if (scenarioName.empty() || scenarioName == scenario.name) {
                runScenario(scenario, seed);
            }
        }
    }
    return EXIT_SUCCESS;
}
