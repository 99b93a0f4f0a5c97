#include <burdock/policy/backendlifetable.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{

const ServerId Server("parts-1");
const InstanceId PeerA("a");
const InstanceId PeerB("b");

/// One server in a table, with every way in which word of it arrives.
struct Bench
{
    ManualRuntime runtime;
    std::vector<BackendState> changes;
    BackendLifeTable table{runtime, {}, [this](const ServerId &, BackendState state) { changes.push_back(state); }};
    std::uint64_t version = 0;
    Address address{"127.0.0.1", 8000};

    Bench()
    {
        list(true, false);
    }

    void list(bool present, bool leaving)
    {
        InstanceList next{++version, {}, {}};
        if (present) {
            next.servers.push_back({Server, FleetName("parts"), {}, address, leaving});
        }
        table.onInstanceList(next);
    }
    void reply(bool draining)
    {
        table.replied(Server, draining, runtime.now());
    }
    void report(const InstanceId &peer, bool draining)
    {
        table.reported(peer, ServerReport{Server, draining, false, {}, {}});
    }
    bool mayGetWork() const
    {
        return table.mayGetWork(Server);
    }
    /// Sends one request that the server answers.
    void request(bool draining)
    {
        REQUIRE(mayGetWork());
        table.dispatched(Server);
        reply(draining);
    }
};

using Signal = void (*)(Bench &);

struct SignalCase
{
    std::string name;
    Signal leaving;
};

const std::vector<SignalCase> TrustedSignals{
    {"the instance list", [](Bench &bench) { bench.list(true, true); }},
    {"its disappearance from the instance list", [](Bench &bench) { bench.list(false, false); }},
    {"its own reply", [](Bench &bench) { bench.reply(true); }},
    {"a peer's report", [](Bench &bench) { bench.report(PeerA, true); }},
};

} // namespace

TEST_CASE("Any one trusted signal stops new work at once", "[backendlife][point6]")
{
    for (const SignalCase &each : TrustedSignals) {
        INFO(each.name);
        Bench bench;
        REQUIRE(bench.mayGetWork());
        each.leaving(bench);
        CHECK_FALSE(bench.mayGetWork());
        REQUIRE(bench.changes.size() == 1);
        CHECK((bench.changes.front() == BackendState::Draining || bench.changes.front() == BackendState::Gone));
    }
}

TEST_CASE("A leaving server gets no work while the other signals lie", "[backendlife][point6]")
{
    for (const SignalCase &each : TrustedSignals) {
        INFO(each.name);
        Bench bench;
        each.leaving(bench);
        for (int second = 0; second < 59; ++second) {
            bench.runtime.advance(seconds(1));
            bench.reply(false);
            bench.report(PeerB, false);
            bench.table.healthHint(Server, false);
            if (each.name.find("list") == std::string::npos) {
                bench.list(true, false);
            }
            CHECK_FALSE(bench.mayGetWork());
        }
    }
}

TEST_CASE("The list's word on a leaving server ends only with the list's later word", "[backendlife][point6]")
{
    Bench bench;
    bench.list(true, true);
    bench.runtime.advance(minutes(60));
    CHECK_FALSE(bench.mayGetWork());
    SECTION("an older list is ignored")
    {
        bench.version -= 2;
        bench.list(true, false);
        CHECK_FALSE(bench.mayGetWork());
    }
    SECTION("a newer list brings it back by way of a trial")
    {
        bench.list(true, false);
        CHECK(bench.table.state(Server) == BackendState::Suspected);
        bench.request(false);
        CHECK(bench.table.state(Server) == BackendState::Active);
    }
}

TEST_CASE("A server comes back after its hold time by one trial request", "[backendlife]")
{
    Bench bench;
    bench.reply(true);
    bench.runtime.advance(seconds(60));
    CHECK(bench.table.state(Server) == BackendState::Suspected);

    SECTION("only one request is on trial at a time")
    {
        bench.table.dispatched(Server);
        CHECK_FALSE(bench.mayGetWork());
        bench.runtime.advance(seconds(5));
        CHECK(bench.mayGetWork());
    }
    SECTION("a good reply ends the trial")
    {
        bench.request(false);
        CHECK(bench.table.state(Server) == BackendState::Active);
    }
    SECTION("a reply to a request from before the doubt proves nothing")
    {
        bench.table.replied(Server, false, bench.runtime.now() - milliseconds(1));
        CHECK(bench.table.state(Server) == BackendState::Suspected);
    }
    SECTION("a draining reply doubles the hold, up to the longest")
    {
        Duration hold = seconds(60);
        for (int round = 0; round < 6; ++round) {
            bench.request(true);
            hold = std::min<Duration>(2 * hold, minutes(10));
            bench.runtime.advance(hold - milliseconds(1));
            CHECK(bench.table.state(Server) == BackendState::Draining);
            bench.runtime.advance(milliseconds(1));
            CHECK(bench.table.state(Server) == BackendState::Suspected);
        }
    }
}

TEST_CASE("A peer takes back its own word only", "[backendlife]")
{
    Bench bench;
    bench.report(PeerA, true);
    bench.report(PeerB, true);
    bench.report(PeerB, false);
    CHECK_FALSE(bench.mayGetWork());
    bench.report(PeerA, false);
    CHECK(bench.table.state(Server) == BackendState::Suspected);
}

TEST_CASE("A new address is a new process and forgets what was said of the old one", "[backendlife]")
{
    Bench bench;
    bench.reply(true);
    bench.report(PeerA, true);
    bench.address.port = 8001;
    bench.list(true, false);
    bench.request(false);
    CHECK(bench.table.state(Server) == BackendState::Active);
}

TEST_CASE("A server that returns to the list is still held by its own word", "[backendlife][point6]")
{
    Bench bench;
    bench.reply(true);
    bench.list(false, false);
    CHECK(bench.table.state(Server) == BackendState::Gone);
    bench.list(true, false);
    CHECK(bench.table.state(Server) == BackendState::Draining);
    CHECK(bench.changes == std::vector<BackendState>{BackendState::Draining, BackendState::Gone, BackendState::Draining});
}

TEST_CASE("A health endpoint that lies costs a server one trial in a while", "[backendlife]")
{
    Bench bench;
    int trials = 0;
    for (int second = 0; second < 120; ++second) {
        bench.table.healthHint(Server, true);
        trials += bench.table.state(Server) == BackendState::Suspected ? 1 : 0;
        bench.request(false);
        CHECK(bench.table.state(Server) == BackendState::Active);
        bench.runtime.advance(seconds(1));
    }
    CHECK(trials == 4);
}

TEST_CASE("Servers that left the list are forgotten in the end, and strangers are only counted", "[backendlife]")
{
    Bench bench;
    bench.list(false, false);
    CHECK(bench.table.count(BackendState::Gone) == 1);
    bench.runtime.advance(minutes(11));
    bench.list(false, false);
    CHECK(bench.table.count(BackendState::Gone) == 0);
    bench.list(true, false);
    const auto before = bench.table.unknownSignals();
    bench.table.replied(ServerId("stranger"), true, bench.runtime.now());
    CHECK(bench.table.unknownSignals() == before + 1);
    CHECK_FALSE(bench.table.mayGetWork(ServerId("stranger")));
    for (int peer = 0; peer < 1000; ++peer) {
        bench.report(InstanceId("p" + std::to_string(peer)), true);
    }
    CHECK(bench.runtime.pending() == 1);
}

TEST_CASE("No mixture of signals and lies sends work to a server that a trusted signal marks", "[backendlife][point6]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        Bench bench;
        bool listLeaving = false;
        std::optional<TimePoint> ownWord;
        std::map<InstanceId, TimePoint> peerWords;
        const auto believed = [&](TimePoint said) { return bench.runtime.now() - said < seconds(60); };
        for (int step = 0; step < 500; ++step) {
            bench.runtime.advance(milliseconds(random() % 20000));
            const bool leaving = random() % 4 == 0;
            const InstanceId peer = random() % 2 == 0 ? PeerA : PeerB;
            switch (random() % 4) {
            case 0:
                listLeaving = leaving;
                bench.list(random() % 2 == 0 || !leaving, leaving);
                break;
            case 1:
                ownWord = leaving ? bench.runtime.now() : ownWord;
                bench.reply(leaving);
                break;
            case 2:
                bench.report(peer, leaving);
                peerWords.erase(peer);
                if (leaving) {
                    peerWords[peer] = bench.runtime.now();
                }
                break;
            default:
                bench.table.healthHint(Server, leaving);
                break;
            }
            const bool peerSays = std::any_of(peerWords.begin(), peerWords.end(), [&](const auto &word) { return believed(word.second); });
            if (listLeaving || (ownWord && believed(*ownWord)) || peerSays) {
                CHECK_FALSE(bench.mayGetWork());
            }
            if (bench.mayGetWork()) {
                bench.table.dispatched(Server);
            }
        }
    }
}
