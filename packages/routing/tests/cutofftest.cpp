#include <catch2/catch.hpp>

#include "routingfixture.h"

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::size_t ShardCount = 10;

/// An instance with one route over ten shards, each with two servers, of which the first request was answered.
struct CutOffFixture : RoutingFixture
{
    CutOffFixture()
    {
        std::vector<std::string> names;
        for (std::size_t shard = 0; shard < ShardCount; ++shard) {
            names.push_back("k" + std::to_string(shard));
        }
        Route all = shardRoute(names, 1);
        for (const std::string &name : names) {
            addServer(name + "2", name);
        }
        setRoutes({all});
        sendRequest("all");
        runtime.advance(milliseconds(10));
        answerAll([](int number) { return Result<ServerReply>(success("[" + std::to_string(number) + "]")); });
        REQUIRE(answer);
        runtime.advance(seconds(1));
    }

    /// Answers all requests in flight, and those that are sent because of it.
    template<class MakeReply>
    void answerAll(MakeReply makeReply)
    {
        for (int number = 0; !backends.open.empty(); ++number) {
            backends.answer(makeReply(number));
        }
    }

    std::vector<ServerHandle> allServers() const
    {
        return servers.allUsable();
    }
};

} // namespace

TEST_CASE("Refused connections of a cut do not count as failures of the servers after it", "[reach][cutoff]")
{
    CutOffFixture fixture;
    fixture.sendRequest("all");
    fixture.answerAll([](int) { return notConnected(); });
    REQUIRE(fixture.reach.isCutOff());
    fixture.runtime.advance(Duration{0});
    for (const ServerHandle &server : fixture.allServers()) {
        CHECK(fixture.load.failureRate(server->id, fixture.runtime.now()) == 0);
        CHECK(fixture.load.backoffUntil(server->id) <= fixture.runtime.now());
    }
    SECTION("nor do those that come once the cut is known")
    {
        fixture.sendRequest("all", std::nullopt, "y");
        fixture.answerAll([](int) { return notConnected(); });
        for (const ServerHandle &server : fixture.allServers()) {
            CHECK(fixture.load.failureRate(server->id, fixture.runtime.now()) == 0);
            CHECK(fixture.load.backoffUntil(server->id) <= fixture.runtime.now());
        }
    }
}

TEST_CASE("A failure before the last response of another server still counts when the instance is cut off later", "[reach][cutoff]")
{
    CutOffFixture fixture;
    fixture.sendRequest("all");
    const ServerId failing = fixture.backends.open.front().server->id;
    fixture.backends.answer(refusedByServer());
    fixture.answerAll([](int number) { return Result<ServerReply>(success("[" + std::to_string(number) + "]")); });
    const double before = fixture.load.failureRate(failing, fixture.runtime.now());
    CHECK(before > 0);
    fixture.sendRequest("all", std::nullopt, "y");
    fixture.answerAll([](int) { return notConnected(); });
    REQUIRE(fixture.reach.isCutOff());
    fixture.runtime.advance(Duration{0});
    CHECK(fixture.load.failureRate(failing, fixture.runtime.now()) == Approx(before));
}

TEST_CASE("A request whose connections a cut resets is not reported as one that crashes servers", "[reach][cutoff][crash]")
{
    CutOffFixture fixture;
    std::vector<Duration> announced;
    fixture.sendRequest("all");
    for (std::size_t shard = 0; shard < ShardCount; ++shard) {
        fixture.backends.answer(lostAtServer());
    }
    fixture.answerAll([](int) { return notConnected(); });
    fixture.sendRequest("all", std::nullopt, "y");
    fixture.answerAll([](int) { return notConnected(); });
    REQUIRE(fixture.reach.isCutOff());
    fixture.runtime.advance(Duration{0});
    CHECK(fixture.crashes.reports(fixture.runtime.now()).empty());
    CHECK_FALSE(fixture.crashes.isAlarmed(fixture.runtime.now()));
}

TEST_CASE("The time that requests wait in a cut is no latency of their servers", "[reach][cutoff]")
{
    CutOffFixture fixture;
    const Route route = fixture.route("all");
    const Duration before = fixture.latencies.typical(route.name, route.target, Distance::SameRegion);
    const ServedRequestId id = fixture.sendRequest("all");
    fixture.runtime.advance(milliseconds(600));
    REQUIRE(fixture.reach.isCutOff());
    SECTION("if the client leaves")
    {
        fixture.coordinator.onClientDisconnected(id);
    }
    SECTION("if they are answered after it")
    {
        fixture.answerAll([](int number) { return Result<ServerReply>(success("[" + std::to_string(number) + "]")); });
    }
    CHECK(fixture.latencies.typical(route.name, route.target, Distance::SameRegion) == before);
    for (const ServerHandle &server : fixture.allServers()) {
        CHECK(fixture.load.failureRate(server->id, fixture.runtime.now()) == 0);
    }
}

TEST_CASE("Requests that a cut left hanging at a server do not keep it from being used after the cut", "[reach][cutoff]")
{
    CutOffFixture fixture;
    fixture.sendRequest("all");
    const ServerId hanging = fixture.backends.open.front().server->id;
    fixture.runtime.advance(seconds(1));
    REQUIRE(fixture.reach.isCutOff());
    CHECK(fixture.load.oldest(hanging, fixture.runtime.now()) == seconds(1));
    fixture.backends.open.back().done(success("[1]"));
    fixture.backends.open.pop_back();
    fixture.runtime.advance(milliseconds(10));
    REQUIRE_FALSE(fixture.reach.isCutOff());
    CHECK(fixture.load.inFlight(hanging) == 1);
    CHECK(fixture.load.oldest(hanging, fixture.runtime.now()) == Duration{0});
}

TEST_CASE("A cut-off instance does not go on trying servers for a request", "[reach][cutoff]")
{
    CutOffFixture fixture;
    fixture.sendRequest("all");
    fixture.answerAll([](int) { return notConnected(); });
    REQUIRE(fixture.reach.isCutOff());
    fixture.runtime.advance(Duration{0});
    const std::size_t before = fixture.backends.all;
    fixture.sendRequest("all", std::nullopt, "y");
    CHECK(fixture.backends.all == before);
    CHECK(fixture.answer);
}

TEST_CASE("A retry after a refused connection is no arrival at a server and needs no repeat budget", "[reach][budget]")
{
    RoutingFixture fixture;
    fixture.addServer("near1", "parts");
    fixture.addServer("near2", "parts");
    fixture.addServer("near3", "parts");
    fixture.setRoutes({RoutingFixture::route("parts")});
    fixture.budget.setTerms({0, seconds(10), 0});
    fixture.sendRequest("parts");
    fixture.backends.answer(notConnected());
    REQUIRE(fixture.backends.open.size() == 1);
    CHECK_FALSE(fixture.answer);
    SECTION("the first retry that arrived is the last one")
    {
        fixture.backends.answer(refusedByServer());
        CHECK(fixture.backends.open.empty());
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
    }
    SECTION("the number of attempts stays limited")
    {
        fixture.addServer("near4", "parts");
        fixture.addServer("near5", "parts");
        fixture.addServer("near6", "parts");
        while (!fixture.backends.open.empty()) {
            fixture.backends.answer(notConnected());
        }
        CHECK(fixture.backends.all == 4);
    }
}
