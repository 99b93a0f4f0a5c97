#include <catch2/catch.hpp>

#include "routingfixture.h"

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// A route that is served in this region only, with servers here and in the other region.
struct RegionsFixture : RoutingFixture
{
    explicit RegionsFixture(std::uint32_t attempts = 3)
    {
        addServer("near1", "parts");
        addServer("near2", "parts");
        addServer("far1", "parts", Far);
        addServer("far2", "parts", Far);
        Route made = homeRoute();
        made.attempts = attempts;
        setRoutes({made});
    }

    static Route homeRoute(const std::string &service = "parts")
    {
        Route made = route(service);
        made.regions = {Region("home")};
        return made;
    }

    bool hasOpenFar() const
    {
        return std::any_of(backends.open.begin(), backends.open.end(), [](const auto &sent) { return sent.server->dataCentre == DataCentre(Far); });
    }

    void loseRegion()
    {
        servers.remove(ServerId("near1"), false);
        servers.remove(ServerId("near2"), false);
    }

    void cutOff()
    {
        std::vector<ServerEntry> unreachable(5);
        for (std::size_t number = 0; number < unreachable.size(); ++number) {
            unreachable[number].id = ServerId("u" + std::to_string(number));
            unreachable[number].service = ServiceName(unreachable[number].id.text());
            reach.onSent(unreachable[number], Duration{0});
        }
        // Requests in flight count as long as they may just be slow.
        runtime.advance(milliseconds(149));
        for (const ServerEntry &server : unreachable) {
            reach.onEnded(reach.onSent(server, Duration{0}), ReachOutcome::NotConnected);
        }
        runtime.advance(milliseconds(1));
        REQUIRE(reach.isCutOff());
    }
};

bool isRefusedAtOnce(const RegionsFixture &fixture)
{
    const auto &answer = fixture.answer;
    return answer && answer->kind == ClientAnswer::Kind::Refused && answer->status == AnswerStatus::Unavailable && answer->retryAfter > Duration{0};
}

} // namespace

TEST_CASE("First tries, hedges and retries stay in the route's regions while their servers are slow and refuse", "[regions]")
{
    RegionsFixture fixture;
    SECTION("a late request is hedged in the region")
    {
        fixture.sendRequest("parts");
        fixture.runtime.advance(milliseconds(900));
        CHECK(fixture.journal.decisions == std::vector<std::string>{"hedge"});
    }
    SECTION("a refused request is retried in the region, and refused when no server is left there")
    {
        fixture.sendRequest("parts");
        fixture.backends.answer(refusedByServer());
        REQUIRE(fixture.backends.open.size() == 1);
        CHECK_FALSE(fixture.hasOpenFar());
        fixture.backends.answer(refusedByServer());
        CHECK(isRefusedAtOnce(fixture));
    }
    CHECK(fixture.backends.all == 2);
    CHECK_FALSE(fixture.hasOpenFar());
}

TEST_CASE("A flood in one region goes to its servers only", "[regions]")
{
    RegionsFixture fixture;
    for (int request = 0; request < 300; ++request) {
        fixture.sendRequest("parts");
        CHECK_FALSE(fixture.hasOpenFar());
    }
    CHECK(isRefusedAtOnce(fixture));
}

TEST_CASE("When the servers of a region are lost, what may be served there only is refused at once, and the rest goes to other regions", "[regions]")
{
    RegionsFixture fixture;
    fixture.loseRegion();
    fixture.sendRequest("parts");
    CHECK(isRefusedAtOnce(fixture));
    CHECK(fixture.backends.all == 0);
    CHECK(fixture.counters.refusedForPlace == 1);
    CHECK(fixture.journal.decisions == std::vector<std::string>{"place"});
    fixture.setRoutes({RoutingFixture::route("parts")});
    fixture.sendRequest("parts");
    CHECK(fixture.hasOpenFar());
}

TEST_CASE("A request to all shards is refused before anything is sent if too few shards have a server in its regions", "[regions][gather]")
{
    RegionsFixture fixture;
    Route made = fixture.shardRoute({"a", "b", "c"}, 0.75);
    made.regions = {Region("home")};
    fixture.addServer("d1", "d", RoutingFixture::Far);
    made.shards.emplace_back("d");
    SECTION("one of four may be missing")
    {
        fixture.setRoutes({made});
        fixture.sendRequest("all");
        CHECK(fixture.backends.all == 3);
        CHECK_FALSE(fixture.answer);
    }
    SECTION("two of four may not")
    {
        fixture.addServer("far3", "e", RoutingFixture::Far);
        made.shards.back() = ServiceName("e");
        made.shards.emplace_back("d");
        fixture.setRoutes({made});
        fixture.sendRequest("all");
        CHECK(isRefusedAtOnce(fixture));
        CHECK(fixture.backends.all == 0);
    }
    CHECK_FALSE(fixture.hasOpenFar());
}

TEST_CASE("Servers of a data centre whose region is unknown get no requests of a route with regions", "[regions]")
{
    RegionsFixture fixture;
    fixture.addServer("lost1", "lonely", "nowhere");
    fixture.setRoutes({RegionsFixture::homeRoute("lonely")});
    fixture.sendRequest("lonely");
    CHECK(isRefusedAtOnce(fixture));
    CHECK(fixture.backends.all == 0);
}

TEST_CASE("An instance that reaches no server passes a request on only to instances in its regions whose builds keep it there", "[regions][passing]")
{
    RegionsFixture fixture;
    fixture.addHelper("away", 0, "away");
    fixture.addHelper("earlier", 0, "home", false);
    SECTION("there is none")
    {
        fixture.cutOff();
        fixture.sendRequest("parts");
        CHECK(isRefusedAtOnce(fixture));
        CHECK(fixture.peers.all == 0);
    }
    SECTION("there is one")
    {
        fixture.addHelper("home", 1);
        fixture.cutOff();
        for (int request = 0; request < 20; ++request) {
            fixture.sendRequest("parts");
            REQUIRE(fixture.peers.open.size() == 1);
            CHECK(fixture.peers.open.front().peer.id == InstanceId("home"));
            fixture.peers.open.clear();
        }
    }
    SECTION("others that stop are no resort")
    {
        fixture.removeHelpers();
        fixture.cutOff();
        fixture.sendRequest("parts");
        CHECK(isRefusedAtOnce(fixture));
        CHECK(fixture.peers.all == 0);
    }
    SECTION("requests without regions go to any")
    {
        fixture.setRoutes({RoutingFixture::route("parts")});
        fixture.cutOff();
        fixture.sendRequest("parts");
        CHECK(fixture.peers.all == 1);
    }
}

TEST_CASE("A request in progress stays in its regions when the instance loses its servers", "[regions][passing]")
{
    RegionsFixture fixture;
    fixture.addHelper("away", 0, "away");
    fixture.sendRequest("parts");
    REQUIRE(fixture.backends.open.size() == 1);
    fixture.cutOff();
    fixture.runtime.advance(seconds(3));
    CHECK(fixture.peers.all == 0);
}
