#include <catch2/catch.hpp>

#include "playedload.h"
#include "routingfixture.h"

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr Duration Target = milliseconds(200);
constexpr Duration ShortWork = milliseconds(5);
constexpr Duration LongWork = milliseconds(150);
/// Until now nothing has been learned, so it is not counted.
constexpr Duration Warmup = seconds(5);
constexpr Duration Length = seconds(30);
constexpr std::uint32_t Slots = 4;
constexpr std::uint64_t FirstSeed = 41;
constexpr std::uint64_t Plays = 3;

CostKey keyOf(const std::string &workspace)
{
    return {"parts", ServiceName("parts"), workspace, 0, 0};
}

/// Adds samples one after the other, of which one in a hundred takes five times as long.
void addSamples(CostEstimates &estimates, const CostKey &key, Duration work, int count, TimePoint &now)
{
    for (int sample = 1; sample <= count; ++sample) {
        now += milliseconds(10);
        estimates.addSample(key, Target, sample % 100 == 0 ? 5 * work : work, now);
    }
}

bool isNear(Duration value, Duration expected, double share)
{
    return std::abs(static_cast<double>((value - expected).count())) <= share * static_cast<double>(expected.count());
}

/// The results of the same load, placed by cost and without it.
struct Played
{
    PlayedLoad::Result byCost;
    PlayedLoad::Result before;
    std::size_t behindLong = 0;
};

/// Plays the load several times with other random numbers and adds the results up.
Played play(const std::vector<PlayedLoad::Server> &servers, const std::vector<PlayedKind> &kinds, std::size_t instanceCount = 1)
{
    Played sum;
    for (std::uint64_t seed = FirstSeed; seed < FirstSeed + Plays; ++seed) {
        for (const bool byCost : {true, false}) {
            std::vector<std::unique_ptr<PlayedInstance>> instances;
            std::vector<const ChoosingInstance *> choosing;
            for (std::size_t number = 0; number < instanceCount; ++number) {
                auto instance = std::make_unique<ChoosingInstance>(servers.size(), Slots, byCost, instanceCount, seed + number);
                choosing.push_back(instance.get());
                instances.push_back(std::move(instance));
            }
            (byCost ? sum.byCost : sum.before).add(PlayedLoad(servers, kinds, seed).play(instances, Length, Warmup));
            for (const ChoosingInstance *instance : choosing) {
                sum.behindLong += instance->behindLong();
            }
        }
    }
    return sum;
}

std::vector<PlayedKind> shortAndLong(double shortPerSecond, double longPerSecond)
{
    return {{"short", shortPerSecond, ShortWork}, {"long", longPerSecond, LongWork}};
}

PlayedLoad::Server serverAtPace(double pace)
{
    PlayedLoad::Server server;
    server.slots = Slots;
    server.pace = [pace](Duration) { return pace; };
    return server;
}

/// Checks that no kind of request is answered in time less often than without placing by cost.
void checkNoKindLoses(const Played &played)
{
    // The servers' part of the times within which answers have their full value.
    const std::vector<Duration> within{milliseconds(20), milliseconds(300)};
    // What differs between two plays of one load by chance.
    constexpr double Chance = 0.01;
    for (std::size_t kind = 0; kind < within.size(); ++kind) {
        INFO("kind " << kind);
        CHECK(played.byCost.shareWithin(kind, within[kind]) >= played.before.shareWithin(kind, within[kind]) - Chance);
    }
}

} // namespace

TEST_CASE("Requests that look alike and cost 1 : 30 are told apart by their workspace", "[cost]")
{
    CostEstimates estimates;
    TimePoint now{seconds(100)};
    for (int round = 0; round < 100; ++round) {
        addSamples(estimates, keyOf("short"), ShortWork, 1, now);
        addSamples(estimates, keyOf("long"), LongWork, 1, now);
    }
    CHECK(isNear(estimates.estimate(keyOf("short"), Target, now).work, ShortWork, 0.25));
    CHECK(isNear(estimates.estimate(keyOf("long"), Target, now).work, LongWork, 0.25));
    SECTION("another workspace is expected to cost what the route costs")
    {
        const CostEstimate other = estimates.estimate(keyOf("other"), Target, now);
        CHECK(other.work > 2 * ShortWork);
        CHECK(other.work < LongWork);
    }
    SECTION("the same at another service is a guess")
    {
        CostKey key = keyOf("long");
        key.service = ServiceName("other");
        const CostEstimate guess = estimates.estimate(key, Target, now);
        CHECK(guess.weight == 0);
        CHECK(guess.work == Target / 10);
    }
}

TEST_CASE("One request in a hundred that takes five times as long hardly changes the estimate", "[cost]")
{
    CostEstimates estimates;
    TimePoint now{seconds(100)};
    addSamples(estimates, keyOf("a"), milliseconds(20), 1000, now);
    CHECK(isNear(estimates.estimate(keyOf("a"), Target, now).work, milliseconds(20), 0.05));
}

TEST_CASE("An estimate loses half its weight in its half-life and follows a changed cost", "[cost]")
{
    CostEstimates estimates;
    TimePoint now{seconds(100)};
    addSamples(estimates, keyOf("a"), milliseconds(20), 1000, now);
    const CostEstimate fresh = estimates.estimate(keyOf("a"), Target, now);
    const CostEstimate older = estimates.estimate(keyOf("a"), Target, now + CostEstimates::HalfLife);
    CHECK(fresh.age == Duration{0});
    CHECK(older.age == CostEstimates::HalfLife);
    CHECK(older.weight == Approx(fresh.weight / 2));
    addSamples(estimates, keyOf("a"), milliseconds(80), 300, now);
    CHECK(isNear(estimates.estimate(keyOf("a"), Target, now).work, milliseconds(80), 0.1));
}

TEST_CASE("Any number of workspaces takes a bounded number of estimates", "[cost]")
{
    CostEstimates estimates;
    TimePoint now{seconds(100)};
    for (std::size_t number = 0; number < 3 * CostEstimates::MaxKinds; ++number) {
        addSamples(estimates, keyOf(std::to_string(number)), milliseconds(20), 1, now);
    }
    CHECK(estimates.kinds() == CostEstimates::MaxKinds);
    std::size_t routes = 0;
    estimates.forEachRoute(now, [&routes](const CostKey &, const CostEstimate &estimate) {
        ++routes;
        CHECK(isNear(estimate.work, milliseconds(20), 0.1));
    });
    CHECK(routes == 1);
}

TEST_CASE("The work left at a server is what was expected less what must be done by now", "[cost][work]")
{
    const TimePoint now{seconds(100)};
    const auto left = [now](Duration ago, Duration work, Duration wait = Duration{0}) { return ServerWork::left({{now - ago, work, wait}}, 1, now); };
    CHECK(left(Duration{0}, milliseconds(20)) == milliseconds(20));
    CHECK(left(milliseconds(15), milliseconds(20)) == milliseconds(5));
    CHECK(left(milliseconds(15), milliseconds(20), milliseconds(15)) == milliseconds(20));
    CHECK(left(milliseconds(5), milliseconds(20), milliseconds(15)) == milliseconds(20));
    // One that is late is expected to last as long again.
    CHECK(left(milliseconds(50), milliseconds(20)) == milliseconds(30));
    CHECK(ServerWork::left({{now, milliseconds(20), {}}, {now, milliseconds(20), {}}}, 2, now) == milliseconds(80));
}

TEST_CASE("What a server tells of its load counts for a moment, and its pace shows if it tells too little", "[cost][work]")
{
    const ServerId server("s");
    TimePoint now{seconds(100)};
    ServerWork work;
    const std::vector<OpenRequest> own{{now, milliseconds(20), {}}};
    CHECK(work.wait(server, 1, own, 1, now) == milliseconds(20));
    work.onTold(server, {1, 3, 1, 1}, 1, now);
    CHECK(work.wait(server, 1, own, 1, now) == milliseconds(80));
    CHECK(work.wait(server, 1, {{now + seconds(2), milliseconds(20), {}}}, 1, now + seconds(2)) < milliseconds(21));
    work.onTold(server, {0, 0, 4, 0.01}, 0, now);
    for (int answer = 0; answer < 50; ++answer) {
        now += milliseconds(20);
        work.onTold(server, {0, 0, 4, 0.01}, 0, now);
        work.onAnswered(server, milliseconds(100), milliseconds(20), now);
    }
    CHECK(work.pace(server, now) > 4);
    CHECK(work.pace(server, now + 5 * ServerWork::PaceDecayTime) < 1.1);
    work.forget(server);
    CHECK(work.pace(server, now) == 1);
}

TEST_CASE("Requests are placed by cost only if several workspaces share the servers, or these tell their load", "[cost]")
{
    RoutingFixture fixture;
    fixture.addServer("near1", "parts");
    CostPlacing &placing = fixture.choice.placing();
    const Route route = RoutingFixture::route("parts");
    const auto isOn = [&](const std::string &service) { return placing.costOf(route, ServiceName(service), 0, {}, fixture.runtime.now()).has_value(); };
    CHECK_FALSE(isOn("parts"));
    RoutingConfig config;
    config.workspaces.resize(1);
    placing.setConfig(config);
    CHECK_FALSE(isOn("parts"));
    SECTION("several workspaces")
    {
        config.workspaces.resize(2);
        placing.setConfig(config);
        CHECK(isOn("parts"));
        placing.setConfig(RoutingConfig());
        CHECK_FALSE(isOn("parts"));
    }
    SECTION("a server that tells its load")
    {
        placing.onTold(*fixture.servers.servers(ServiceName("parts")).front(), {0, 0, 4, 1}, fixture.runtime.now());
        CHECK(isOn("parts"));
        CHECK_FALSE(isOn("a"));
    }
}

TEST_CASE("A hedge goes where it is expected to end first, though more requests are in progress there", "[cost][hedge]")
{
    RoutingFixture fixture;
    fixture.setRoutes({RoutingFixture::route("parts")});
    for (const char *id : {"long", "short", "first"}) {
        fixture.addServer(id, "parts");
    }
    RoutingConfig config;
    config.workspaces.resize(2);
    fixture.choice.placing().setConfig(config);
    const TimePoint now = fixture.runtime.now();
    for (int number = 0; number < 4; ++number) {
        fixture.load.onSent(ServerId("long"), {now, milliseconds(900), {}});
        fixture.load.onSent(ServerId("short"), {now, milliseconds(60), {}});
    }
    fixture.load.onSent(ServerId("short"), {now, milliseconds(60), {}});
    fixture.sendRequest("parts");
    REQUIRE(fixture.backends.isOpenAt("first"));
    fixture.runtime.advance(milliseconds(150));
    REQUIRE(fixture.backends.open.size() == 2);
    CHECK(fixture.backends.isOpenAt("short"));
}

TEST_CASE("Two kinds of requests that look alike, 1 : 30 in work: none waits behind long work beside a free server", "[cost][load]")
{
    const Played played = play(std::vector<PlayedLoad::Server>(6, serverAtPace(1)), shortAndLong(1120, 75));
    checkNoKindLoses(played);
    CHECK(played.byCost.busiestOverMean < 1.1);
    CHECK(played.behindLong == 0);
    CHECK(played.byCost.shareWaitingBesideFree(Duration{0}) < played.before.shareWaitingBesideFree(Duration{0}));
}

TEST_CASE("Servers of unequal speed: each kind of request is answered in time at least as often", "[cost][load]")
{
    const Played played =
        play({serverAtPace(0.8), serverAtPace(0.8), serverAtPace(1), serverAtPace(1), serverAtPace(1.3), serverAtPace(2)}, shortAndLong(860, 57));
    checkNoKindLoses(played);
    CHECK(played.byCost.percentile(1, 0.99) < played.before.percentile(1, 0.99));
}

TEST_CASE("A server that turns six times slower midway, and recovers", "[cost][load]")
{
    std::vector<PlayedLoad::Server> servers(6, serverAtPace(1));
    servers[0].pace = [](Duration at) { return at > seconds(10) && at < seconds(20) ? 6.0 : 1.0; };
    const Played played = play(servers, shortAndLong(800, 53));
    checkNoKindLoses(played);
    CHECK(played.byCost.percentile(0, 0.99) < played.before.percentile(0, 0.99));
    CHECK(played.byCost.percentile(1, 0.99) < played.before.percentile(1, 0.99));
}

TEST_CASE("A crowd of expensive requests: the cheap ones do not pay for it", "[cost][load]")
{
    const Played played = play(std::vector<PlayedLoad::Server>(6, serverAtPace(1)), shortAndLong(300, 130));
    checkNoKindLoses(played);
    CHECK(played.byCost.busiestOverMean < 1.1);
    CHECK(played.byCost.percentile(0, 0.5) < played.before.percentile(0, 0.5));
    CHECK(played.behindLong == 0);
}

TEST_CASE("Sixty instances that decide on what each sees alone do not crowd at one server", "[cost][load][herd]")
{
    const Played played = play(std::vector<PlayedLoad::Server>(6, serverAtPace(1)), shortAndLong(1120, 75), 60);
    checkNoKindLoses(played);
    CHECK(played.byCost.busiestOverMean < 1.1);
}

TEST_CASE("The costs of two workspaces on one route are learned from their answers", "[cost][workspaces]")
{
    RoutingFixture fixture;
    fixture.addServer("near1", "parts");
    RoutingConfig config;
    config.version = 1;
    config.routes = {RoutingFixture::route("parts")};
    config.needsKeys = true;
    for (const char *name : {"short", "long"}) {
        Workspace workspace;
        workspace.name = name;
        workspace.keys = {std::string("key of ") + name};
        config.workspaces.push_back(workspace);
    }
    fixture.choice.placing().setConfig(config);
    fixture.coordinator.setRoutes(std::make_shared<const RouteTable>(std::make_shared<const RoutingConfig>(config)));
    for (int round = 0; round < 50; ++round) {
        for (const auto &[name, work] : {std::pair("short", ShortWork), std::pair("long", LongWork)}) {
            ClientRequest request;
            request.method = "GET";
            request.target = "/parts/x";
            request.headers["host"] = "shop.example";
            request.key = std::string("key of ") + name;
            request.arrived = fixture.runtime.now();
            fixture.coordinator.serve(std::move(request), [](const Route *, const ClientAnswer &answer) { CHECK(answer.succeeded()); });
            REQUIRE(fixture.backends.open.size() == 1);
            fixture.runtime.advance(work);
            fixture.backends.answer(success("body"));
        }
    }
    const auto workOf = [&](const std::string &workspace) {
        const CostKey key{"r-parts", ServiceName("parts"), workspace, 0, 0};
        return fixture.choice.placing().estimates().estimate(key, Target, fixture.runtime.now()).work;
    };
    CHECK(isNear(workOf("short"), ShortWork, 0.25));
    CHECK(isNear(workOf("long"), LongWork, 0.25));
}
