// In spells, all servers of a service spoil some of their answers: what comes instead has the status 421 and bytes that are no text
// in the header with the server's id. The processes must hold, and requests to another service, whose servers are sound, must get
// their answers.

#include "../../3/tests/crashwatch.h"

using namespace Review;

namespace
{

// The doses of `garble` in the site files: x 0.05, spells of 5 s; `how` all: none of the servers is spared.
constexpr double FaultyAnswers = 0.05;
constexpr double SpellSeconds = 5;
constexpr double PauseSeconds = 2;
constexpr double TrafficSeconds = 84;

std::optional<std::string> spoiled(const Message &request, const std::string &)
{
    if (uniform() >= FaultyAnswers) {
        return std::nullopt;
    }
    std::string bytes;
    for (int index = 0; index < 8; ++index) {
        bytes += static_cast<char>(0x80 + generator()() % 0x80);
    }
    return "HTTP/1.1 421 " + bytes + "\r\nAttempt-Id: " + request.header("attempt-id") + "\r\nInstance-Id: " + bytes + "\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

int main(int argc, char *argv[])
{
    Run run(argc, argv);
    Store store;
    Json parts = route("parts", "/parts/", "safe", 1500, 250);
    parts["service"] = "partsdesk";
    Json archive = route("archive", "/archive/", "safe", 6000, 2000);
    archive["service"] = "archive";
    store.put("op/config", configuration(7, Json::array({parts, archive}), {{"partsdesk", 40}, {"archive", 96}}).dump());
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::unique_ptr<Server>> soundServers;
    for (int index = 0; index < 3; ++index) {
        Server::Terms terms;
        terms.zone = std::string("zone-") + "abc"[index];
        terms.queue = 30;
        servers.push_back(std::make_unique<Server>(store, "i-" + randomId().substr(0, 8), "partsdesk", terms));
    }
    for (int index = 0; index < 6; ++index) {
        Server::Terms terms;
        terms.zone = std::string("zone-") + "abc"[index % 3];
        terms.slots = 6;
        terms.queue = 24;
        terms.work = 0.22;
        soundServers.push_back(std::make_unique<Server>(store, "i-" + randomId().substr(0, 8), "archive", terms));
    }
    auto instances = startInstances(run, store, 3);
    sleepFor(5);
    CrashWatch watch(run, store, instances);
    Traffic::Terms partsTerms;
    partsTerms.clients = 36;
    partsTerms.pause = 0.05;
    Traffic traffic(run, instances, servers, partsTerms);
    Traffic::Terms archiveTerms;
    archiveTerms.clients = 24;
    archiveTerms.pause = 0.02;
    archiveTerms.target = "/archive/order";
    archiveTerms.timeoutMs = 6000;
    Traffic archiveTraffic(run, instances, soundServers, archiveTerms);
    const auto begin = Clock::now();
    while (secondsSince(begin) < TrafficSeconds) {
        const double phase = std::fmod(secondsSince(begin), SpellSeconds + PauseSeconds);
        for (const auto &server : servers) {
            server->setFault(run.trouble && phase >= PauseSeconds ? Server::Fault{spoiled, nullptr} : Server::Fault{});
        }
        watch.check();
        sleepFor(0.02);
    }
    run.record.say("requests to the service whose answers are spoiled:");
    traffic.stop();
    run.record.say("requests to the service whose servers are sound:");
    archiveTraffic.stop();
    run.record.say("ends of processes by themselves: " + std::to_string(watch.ends()));
    bool broken = false;
    for (const auto &[ip, count] : archiveTraffic.lost()) {
        run.record.say("kept connections to " + ip + " closed without an answer after a sound server had the request: " + std::to_string(count));
        broken = broken || count > 3;
    }
    run.record.say(broken ? "LOST: broken" : "LOST: held");
    finish(run, instances, broken);
}
