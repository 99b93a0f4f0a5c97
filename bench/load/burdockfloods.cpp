/// burdock-floods: starts a deployment of real processes and drives floods and losses through it.

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
constexpr Duration PhaseSpan = std::chrono::seconds(8);
constexpr Duration ReturnSpan = std::chrono::seconds(10);
/// Queries a second that the slots serve: 3 replicas of 5 slots, 80 ms each.
constexpr double Capacity = 187.5;
constexpr double UsualLoad = 0.12;
constexpr int ShardCount = 12;
constexpr const char *ServiceMs = "80";

/// One trigger: what floods, and what is lost meanwhile.
struct Trigger
{
    std::string name;
    std::map<std::string, double> floods;
    bool loseThird = false;
    bool storeOut = false;
};

const std::vector<Trigger> Triggers{
    {"batch 5x", {{"batch", 5}}},
    {"batch 20x", {{"batch", 20}}},
    {"urgent 5x", {{"urgent", 5}}},
    {"both 5x", {{"urgent", 5}, {"batch", 5}}},
    {"both 5x, third of replicas lost", {{"urgent", 5}, {"batch", 5}}, true},
    {"both 5x, store out", {{"urgent", 5}, {"batch", 5}}, false, true},
};

LoadPlan planOf(const Trigger &trigger, std::uint64_t seed)
{
    LoadPlan plan;
    plan.seed = seed;
    plan.callers = {
        {"shaft-head", "helmets", "urgent", UsualLoad * Capacity, std::chrono::milliseconds(500)},
        {"inspectors", "helmets", "interactive", UsualLoad * Capacity, std::chrono::seconds(2)},
        {"recall-desk", "helmets", "batch", UsualLoad * Capacity, std::chrono::seconds(10)},
    };
    std::map<std::string, double> times;
    for (const auto &[rank, flood] : trigger.floods) {
        times[rank] = flood / UsualLoad;
    }
    plan.phases = {
        {"warm-up", PhaseSpan / 2, {}}, {"before", PhaseSpan, {}}, {"during", PhaseSpan, times}, {"return", ReturnSpan, {}}, {"after", PhaseSpan, {}}};
    return plan;
}

void setFaults(Testbed &bed, const Trigger &trigger, bool on)
{
    if (trigger.loseThird) {
        json ids = json::array();
        for (int shard = 0; shard < ShardCount; ++shard) {
            ids.push_back("desk-" + std::to_string(shard) + "-0");
        }
        bed.control("POST", "/fake/faults", {{"target", "server"}, {"ids", ids}, {"transport", {{"outage", on ? "refuse" : "none"}}}});
    }
    if (trigger.storeOut) {
        bed.control("POST", "/fake/faults", {{"target", "store"}, {"transport", {{"outage", on ? "refuse" : "none"}}}});
    }
}

void runTrigger(const Trigger &trigger, std::uint64_t seed)
{
    Testbed bed(BURDOCK_BENCH_DECLARATIONS, {"gauteng"}, {"--service-ms", ServiceMs});
    const std::vector<std::string> instances{"a", "b", "c"};
    for (const std::string &id : instances) {
        bed.startInstance(id, "gauteng");
    }
    if (bed.publish() != 0 || !bed.waitUntilReady()) {
        std::cerr << "the deployment did not come up\n";
        return;
    }
    LoadPlan plan = planOf(trigger, seed);
    for (const std::string &id : instances) {
        plan.entries.push_back(bed.callersAddress(id));
    }
    const auto client = makeHttpClient(bed.loop(), Limits);
    LoadRun run(bed.loop(), *client, plan);
    run.onPhase([&](std::size_t phase) {
        if (plan.phases[phase].name == "during" || plan.phases[phase].name == "return") {
            setFaults(bed, trigger, plan.phases[phase].name == "during");
        }
    });
    run.run();
    json report = run.report();
    report["trigger"] = trigger.name;
    std::cout << report.dump() << std::endl;
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const std::string only = argc > 2 ? argv[2] : "";
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const Trigger &trigger : Triggers) {
            if (only.empty() || only == trigger.name) {
                runTrigger(trigger, seed);
            }
        }
    }
    return EXIT_SUCCESS;
}
