// Another writer leaves one entry among those of the servers whose address has the port 0. It names no server to use, and the
// processes must hold.

#include "crashwatch.h"

using namespace Review;

int main(int argc, char *argv[])
{
    constexpr double CalmSeconds = 5;
    constexpr double TroubleSeconds = 40;
    Run run(argc, argv);
    Store store;
    Json parts = route("parts", "/parts/", "safe", 1500, 250);
    parts["service"] = "partsdesk";
    store.put("op/config", configuration(7, Json::array({parts}), {{"partsdesk", 40}}).dump());
    std::vector<std::unique_ptr<Server>> servers;
    for (int index = 0; index < 3; ++index) {
        Server::Terms terms;
        terms.zone = std::string("zone-") + "abc"[index];
        servers.push_back(std::make_unique<Server>(store, "i-" + randomId().substr(0, 8), "partsdesk", terms));
    }
    auto instances = startInstances(run, store, 3);
    sleepFor(5);
    CrashWatch watch(run, store, instances);
    Traffic traffic(run, instances, servers, {});
    const auto begin = Clock::now();
    bool written = false;
    while (secondsSince(begin) < CalmSeconds + TroubleSeconds) {
        if (run.trouble && !written && secondsSince(begin) >= CalmSeconds) {
            written = true;
            const Json entry{{"service", "partsdesk"},
                             {"address", "127.0.0.1:0"},
                             {"zone", "zone-a"},
                             {"version", "1"},
                             {"slots", 5},
                             {"state", "ready"},
                             {"coldRemainingMs", 0},
                             {"sequence", 1},
                             {"born", 1780000000000}};
            store.put("servers/i-other", entry.dump());
            run.record.say("another writer puts servers/i-other: " + entry.dump());
        }
        watch.check();
        sleepFor(0.02);
    }
    traffic.stop();
    run.record.say("ends of processes by themselves: " + std::to_string(watch.ends())
                   + "; instances with three or more: " + std::to_string(watch.endedThreeTimes()));
    for (const auto &[ip, count] : traffic.lost()) {
        run.record.say("kept connections to " + ip + " closed without an answer after a sound server had the request: " + std::to_string(count));
    }
    const bool broken = watch.endedThreeTimes() >= 2;
    run.record.say(broken ? "Fault: broken" : "Fault: held");
    finish(run, instances, broken);
}
