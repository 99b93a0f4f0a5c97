#include <catch2/catch.hpp>

#include "routingfixture.h"

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

ServerEntry entry(const std::string &id, std::int64_t born = 1)
{
    return {ServerId(id), ServiceName("parts"), Address{"10.0.0.1", 80}, DataCentre(RoutingFixture::Near), false, 4, Duration{0}, born};
}

} // namespace

TEST_CASE("A server that says that it is leaving gets no more requests, though the store lists it", "[notices]")
{
    RoutingFixture fixture;
    fixture.addServer("p1", "parts");
    fixture.addServer("p2", "parts");
    fixture.setRoutes({RoutingFixture::route("parts")});
    CHECK(fixture.notices.onLeaving(entry("p1"), fixture.runtime.now()));
    CHECK_FALSE(fixture.notices.onLeaving(entry("p1"), fixture.runtime.now()));
    for (int request = 0; request < 20; ++request) {
        fixture.sendRequest("parts", std::nullopt, std::to_string(request));
        CHECK_FALSE(fixture.backends.isOpenAt("p1"));
        fixture.backends.answer(success("belt"));
    }
    SECTION("neither as a hedge nor as a retry")
    {
        fixture.sendRequest("parts");
        fixture.runtime.advance(milliseconds(500));
        CHECK(fixture.backends.open.size() == 1);
        fixture.backends.answer(ServerReply{500, "sig", {}, ""});
        CHECK(fixture.answer->status == 500);
    }
    SECTION("until it has started anew")
    {
        CHECK(fixture.notices.accepts(entry("p1", 2), fixture.runtime.now()));
        CHECK_FALSE(fixture.notices.accepts(entry("p1"), fixture.runtime.now() + std::chrono::hours(1)));
    }
    SECTION("a service whose servers are all leaving refuses at once")
    {
        fixture.notices.onLeaving(entry("p2"), fixture.runtime.now());
        fixture.sendRequest("parts");
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->status == AnswerStatus::Unavailable);
    }
}

TEST_CASE("A server that wants no requests for a while gets none until then", "[notices]")
{
    RoutingFixture fixture;
    fixture.addServer("p1", "parts");
    fixture.setRoutes({RoutingFixture::route("parts")});
    CHECK(fixture.notices.onPause(entry("p1"), seconds(4), fixture.runtime.now()));
    fixture.sendRequest("parts");
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->status == AnswerStatus::Unavailable);
    CHECK(fixture.answer->retryAfter >= seconds(4));
    fixture.runtime.advance(milliseconds(3900));
    // A shorter time named later does not shorten the first.
    CHECK_FALSE(fixture.notices.onPause(entry("p1"), milliseconds(10), fixture.runtime.now()));
    CHECK_FALSE(fixture.notices.accepts(entry("p1"), fixture.runtime.now()));
    fixture.runtime.advance(milliseconds(100));
    fixture.sendRequest("parts");
    CHECK(fixture.backends.isOpenAt("p1"));
}

TEST_CASE("The memory of servers' notices is bounded", "[notices]")
{
    RoutingFixture fixture;
    for (int server = 0; server < 9000; ++server) {
        fixture.runtime.advance(milliseconds(1));
        fixture.notices.onLeaving(entry("p" + std::to_string(server)), fixture.runtime.now());
    }
    CHECK(fixture.notices.size() <= 8192);
    CHECK_FALSE(fixture.notices.accepts(entry("p8999"), fixture.runtime.now()));
}
