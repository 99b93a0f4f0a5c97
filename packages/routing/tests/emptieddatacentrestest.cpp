#include <catch2/catch.hpp>

#include "routingfixture.h"

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Four servers of one service in two data centres.
struct EmptiedFixture : RoutingFixture
{
    EmptiedFixture()
    {
        for (const char *id : {"near1", "near2"}) {
            addServer(id, "parts");
        }
        for (const char *id : {"far1", "far2"}) {
            addServer(id, "parts", Far);
        }
        Route made = route("parts");
        made.attempts = 4;
        setRoutes({made});
    }

    bool hasOpenIn(const std::string &dataCentre) const
    {
        return std::any_of(
            backends.open.begin(), backends.open.end(), [&dataCentre](const auto &sent) { return sent.server->dataCentre == DataCentre(dataCentre); });
    }
};

} // namespace

TEST_CASE("A data centre that is emptied while clients come gets no first tries, retries or hedges, and is used again afterwards", "[emptied]")
{
    EmptiedFixture fixture;
    fixture.sendRequest("parts");
    REQUIRE(fixture.hasOpenIn(RoutingFixture::Near));
    fixture.emptied.add(DataCentre(RoutingFixture::Near));
    SECTION("a request in progress there is answered")
    {
        fixture.backends.answer(success("belt"));
        CHECK(fixture.answer->body == "belt");
    }
    SECTION("it is retried elsewhere")
    {
        fixture.backends.answer(refusedByServer());
        CHECK(fixture.hasOpenIn(RoutingFixture::Far));
        fixture.backends.answer(refusedByServer());
        CHECK_FALSE(fixture.hasOpenIn(RoutingFixture::Near));
        CHECK(fixture.hasOpenIn(RoutingFixture::Far));
        fixture.backends.answer(success("belt"));
    }
    SECTION("it is hedged elsewhere")
    {
        fixture.runtime.advance(milliseconds(900));
        CHECK(fixture.backends.open.size() > 1);
        CHECK(fixture.hasOpenIn(RoutingFixture::Far));
    }
    fixture.backends.open.clear();
    for (int request = 0; request < 50; ++request) {
        fixture.sendRequest("parts");
        CHECK_FALSE(fixture.hasOpenIn(RoutingFixture::Near));
    }
    fixture.backends.open.clear();
    fixture.emptied.remove(DataCentre(RoutingFixture::Near));
    fixture.sendRequest("parts");
    CHECK(fixture.hasOpenIn(RoutingFixture::Near));
}

TEST_CASE("Requests to a service whose servers all stand in emptied data centres are refused at once", "[emptied]")
{
    EmptiedFixture fixture;
    fixture.emptied.add(DataCentre(RoutingFixture::Near));
    fixture.emptied.add(DataCentre(RoutingFixture::Far));
    fixture.sendRequest("parts");
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
    CHECK(fixture.answer->status == AnswerStatus::Unavailable);
    CHECK(fixture.answer->retryAfter > Duration{0});
    CHECK(fixture.answer->reason.find("emptied") != std::string::npos);
    CHECK(fixture.backends.all == 0);
    CHECK(fixture.journal.decisions == std::vector<std::string>{"place"});
}

TEST_CASE("A route that may be served in an emptied region only is refused rather than sent elsewhere", "[emptied][regions]")
{
    EmptiedFixture fixture;
    Route made = RoutingFixture::route("parts");
    made.regions = {Region("home")};
    fixture.setRoutes({made});
    fixture.emptied.add(DataCentre(RoutingFixture::Near));
    fixture.sendRequest("parts");
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
    CHECK(fixture.answer->reason.find("emptied") != std::string::npos);
    CHECK(fixture.backends.all == 0);
}

TEST_CASE("A request to all shards is refused before anything is sent if too many shards stand in emptied data centres", "[emptied][gather]")
{
    EmptiedFixture fixture;
    Route made = fixture.shardRoute({"a", "b", "c"}, 0.75);
    fixture.addServer("d1", "d", RoutingFixture::Far);
    made.shards.emplace_back("d");
    fixture.setRoutes({made});
    fixture.emptied.add(DataCentre(RoutingFixture::Near));
    fixture.sendRequest("all");
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
    CHECK(fixture.backends.all == 0);
    fixture.emptied.remove(DataCentre(RoutingFixture::Near));
    fixture.emptied.add(DataCentre(RoutingFixture::Far));
    fixture.sendRequest("all");
    CHECK(fixture.backends.all == 3);
    CHECK_FALSE(fixture.hasOpenIn(RoutingFixture::Far));
}
