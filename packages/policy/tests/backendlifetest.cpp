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

/// A table with one server, and one function for each kind of signal about it.
struct TableFixture
{
    ManualRuntime runtime;
    std::vector<BackendState> changes;
    BackendLifeTable table{runtime, {}, [this](const ServerId &, BackendState state) { changes.push_back(state); }};
    std::uint64_t version = 0;
    Address address{"127.0.0.1", 8000};

    TableFixture()
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
        table.onReply(Server, draining, runtime.now());
    }
    void report(const InstanceId &peer, bool draining)
    {
        table.onPeerReport(peer, ServerReport{Server, draining, false, {}, {}});
    }
    bool acceptsWork() const
    {
        return table.acceptsWork(Server);
    }
    /// Sends one request that the server answers.
    void request(bool draining)
    {
        REQUIRE(acceptsWork());
        table.onDispatched(Server);
        reply(draining);
    }
};

using Signal = void (*)(TableFixture &);

struct SignalCase
{
    std::string name;
    Signal leaving;
};

const std::vector<SignalCase> TrustedSignals{
    {"the instance list", [](TableFixture &fixture) { fixture.list(true, true); }},
    {"its disappearance from the instance list", [](TableFixture &fixture) { fixture.list(false, false); }},
    {"its own reply", [](TableFixture &fixture) { fixture.reply(true); }},
    {"a peer's report", [](TableFixture &fixture) { fixture.report(PeerA, true); }},
};

} // namespace

TEST_CASE("Each trusted signal alone stops new work immediately", "[backendlife][point6]")
{
    for (const SignalCase &each : TrustedSignals) {
        INFO(each.name);
        TableFixture fixture;
        REQUIRE(fixture.acceptsWork());
        each.leaving(fixture);
        CHECK_FALSE(fixture.acceptsWork());
        REQUIRE(fixture.changes.size() == 1);
        CHECK((fixture.changes.front() == BackendState::Draining || fixture.changes.front() == BackendState::Gone));
    }
}

TEST_CASE("A draining server receives no work while other signals contradict", "[backendlife][point6]")
{
    for (const SignalCase &each : TrustedSignals) {
        INFO(each.name);
        TableFixture fixture;
        each.leaving(fixture);
        for (int second = 0; second < 59; ++second) {
            fixture.runtime.advance(seconds(1));
            fixture.reply(false);
            fixture.report(PeerB, false);
            fixture.table.onHealthStatus(Server, false);
            if (each.name.find("list") == std::string::npos) {
                fixture.list(true, false);
            }
            CHECK_FALSE(fixture.acceptsWork());
        }
    }
}

TEST_CASE("Only a newer list revokes the leaving mark of the list", "[backendlife][point6]")
{
    TableFixture fixture;
    fixture.list(true, true);
    fixture.runtime.advance(minutes(60));
    CHECK_FALSE(fixture.acceptsWork());
    SECTION("an older list is ignored")
    {
        fixture.version -= 2;
        fixture.list(true, false);
        CHECK_FALSE(fixture.acceptsWork());
    }
    SECTION("after a newer list, a trial request reactivates the server")
    {
        fixture.list(true, false);
        CHECK(fixture.table.state(Server) == BackendState::Suspected);
        fixture.request(false);
        CHECK(fixture.table.state(Server) == BackendState::Active);
    }
}

TEST_CASE("After the hold time a server is reactivated by one trial request", "[backendlife]")
{
    TableFixture fixture;
    fixture.reply(true);
    fixture.runtime.advance(seconds(60));
    CHECK(fixture.table.state(Server) == BackendState::Suspected);

    SECTION("only one trial request runs at a time")
    {
        fixture.table.onDispatched(Server);
        CHECK_FALSE(fixture.acceptsWork());
        fixture.runtime.advance(seconds(5));
        CHECK(fixture.acceptsWork());
    }
    SECTION("a reply without draining ends the trial")
    {
        fixture.request(false);
        CHECK(fixture.table.state(Server) == BackendState::Active);
    }
    SECTION("a reply to a request sent before the suspicion is ignored")
    {
        fixture.table.onReply(Server, false, fixture.runtime.now() - milliseconds(1));
        CHECK(fixture.table.state(Server) == BackendState::Suspected);
    }
    SECTION("a draining reply doubles the hold, up to the maximum")
    {
        Duration hold = seconds(60);
        for (int round = 0; round < 6; ++round) {
            fixture.request(true);
            hold = std::min<Duration>(2 * hold, minutes(10));
            fixture.runtime.advance(hold - milliseconds(1));
            CHECK(fixture.table.state(Server) == BackendState::Draining);
            fixture.runtime.advance(milliseconds(1));
            CHECK(fixture.table.state(Server) == BackendState::Suspected);
        }
    }
}

TEST_CASE("A peer revokes only its own report", "[backendlife]")
{
    TableFixture fixture;
    fixture.report(PeerA, true);
    fixture.report(PeerB, true);
    fixture.report(PeerB, false);
    CHECK_FALSE(fixture.acceptsWork());
    fixture.report(PeerA, false);
    CHECK(fixture.table.state(Server) == BackendState::Suspected);
}

TEST_CASE("A changed address means a new process and discards earlier reports", "[backendlife]")
{
    TableFixture fixture;
    fixture.reply(true);
    fixture.report(PeerA, true);
    fixture.address.port = 8001;
    fixture.list(true, false);
    fixture.request(false);
    CHECK(fixture.table.state(Server) == BackendState::Active);
}

TEST_CASE("A server that returns to the list is still draining by its own reply", "[backendlife][point6]")
{
    TableFixture fixture;
    fixture.reply(true);
    fixture.list(false, false);
    CHECK(fixture.table.state(Server) == BackendState::Gone);
    fixture.list(true, false);
    CHECK(fixture.table.state(Server) == BackendState::Draining);
    CHECK(fixture.changes == std::vector<BackendState>{BackendState::Draining, BackendState::Gone, BackendState::Draining});
}

TEST_CASE("A wrong health endpoint causes at most one trial per ignore time", "[backendlife]")
{
    TableFixture fixture;
    int trials = 0;
    for (int second = 0; second < 120; ++second) {
        fixture.table.onHealthStatus(Server, true);
        trials += fixture.table.state(Server) == BackendState::Suspected ? 1 : 0;
        fixture.request(false);
        CHECK(fixture.table.state(Server) == BackendState::Active);
        fixture.runtime.advance(seconds(1));
    }
    CHECK(trials == 4);
}

TEST_CASE("Removed servers are forgotten, and signals about unknown servers are only counted", "[backendlife]")
{
    TableFixture fixture;
    fixture.list(false, false);
    CHECK(fixture.table.count(BackendState::Gone) == 1);
    fixture.runtime.advance(minutes(11));
    fixture.list(false, false);
    CHECK(fixture.table.count(BackendState::Gone) == 0);
    fixture.list(true, false);
    const auto before = fixture.table.unknownSignals();
    fixture.table.onReply(ServerId("stranger"), true, fixture.runtime.now());
    CHECK(fixture.table.unknownSignals() == before + 1);
    CHECK_FALSE(fixture.table.acceptsWork(ServerId("stranger")));
    for (int peer = 0; peer < 1000; ++peer) {
        fixture.report(InstanceId("p" + std::to_string(peer)), true);
    }
    CHECK(fixture.runtime.pending() == 1);
}

TEST_CASE("No combination of signals sends work to a server with a valid draining signal", "[backendlife][point6]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        TableFixture fixture;
        bool listLeaving = false;
        std::optional<TimePoint> ownDrainingAt;
        std::map<InstanceId, TimePoint> peerDrainingAt;
        const auto withinHold = [&](TimePoint said) { return fixture.runtime.now() - said < seconds(60); };
        for (int step = 0; step < 500; ++step) {
            fixture.runtime.advance(milliseconds(random() % 20000));
            const bool leaving = random() % 4 == 0;
            const InstanceId peer = random() % 2 == 0 ? PeerA : PeerB;
            switch (random() % 4) {
            case 0:
                listLeaving = leaving;
                fixture.list(random() % 2 == 0 || !leaving, leaving);
                break;
            case 1:
                ownDrainingAt = leaving ? fixture.runtime.now() : ownDrainingAt;
                fixture.reply(leaving);
                break;
            case 2:
                fixture.report(peer, leaving);
                peerDrainingAt.erase(peer);
                if (leaving) {
                    peerDrainingAt[peer] = fixture.runtime.now();
                }
                break;
            default:
                fixture.table.onHealthStatus(Server, leaving);
                break;
            }
            const bool peerDraining = std::any_of(peerDrainingAt.begin(), peerDrainingAt.end(), [&](const auto &entry) { return withinHold(entry.second); });
            if (listLeaving || (ownDrainingAt && withinHold(*ownDrainingAt)) || peerDraining) {
                CHECK_FALSE(fixture.acceptsWork());
            }
            if (fixture.acceptsWork()) {
                fixture.table.onDispatched(Server);
            }
        }
    }
}
