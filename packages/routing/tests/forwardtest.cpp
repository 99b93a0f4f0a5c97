#include <catch2/catch.hpp>

#include "routingfixture.h"

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("A server's response is forwarded unchanged", "[forward]")
{
    RoutingFixture fixture;
    fixture.addServer("p1", "parts");
    fixture.setRoutes({RoutingFixture::route("parts")});
    fixture.sendRequest("parts");
    REQUIRE(fixture.backends.open.size() == 1);
    SECTION("a success")
    {
        fixture.backends.answer(success("belt"));
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Passed);
        CHECK(fixture.answer->status == 200);
        CHECK(fixture.answer->body == "belt");
        CHECK(fixture.answer->signatures == std::vector<std::string>{"sig-belt"});
    }
    SECTION("a failure of the only server")
    {
        fixture.backends.answer(ServerReply{500, "sig", {}, "broken"});
        CHECK(fixture.answer->status == 500);
        CHECK(fixture.answer->body == "broken");
    }
}

TEST_CASE("A request that is not repeatable is retried only if it certainly did not run", "[forward][once]")
{
    RoutingFixture fixture;
    fixture.addServer("p1", "parts");
    fixture.addServer("p2", "parts");
    Route route = RoutingFixture::route("parts");
    route.repeatable = false;
    fixture.setRoutes({route});
    fixture.sendRequest("parts");
    SECTION("a refused request is retried at the other server")
    {
        fixture.backends.answer(refusedByServer());
        CHECK(fixture.backends.all == 2);
        fixture.backends.answer(success("invoice"));
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Passed);
    }
    SECTION("a request that may have run fails and is not retried")
    {
        fixture.backends.answer(lostAtServer());
        CHECK(fixture.backends.all == 1);
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Failed);
        CHECK(fixture.answer->status == AnswerStatus::BadGateway);
    }
    SECTION("a late request is not hedged")
    {
        fixture.runtime.advance(milliseconds(1900));
        CHECK(fixture.backends.all == 1);
    }
    SECTION("a request refused by all servers is refused with a retry delay")
    {
        fixture.backends.answer(refusedByServer());
        fixture.backends.answer(refusedByServer());
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
        CHECK(fixture.answer->status == AnswerStatus::Unavailable);
        CHECK(fixture.answer->retryAfter > Duration{0});
    }
}

TEST_CASE("A repeatable request is sent to at most as many servers as the route has attempts", "[forward]")
{
    RoutingFixture fixture;
    for (const char *id : {"p1", "p2", "p3", "p4"}) {
        fixture.addServer(id, "parts");
    }
    fixture.setRoutes({RoutingFixture::route("parts")});
    fixture.sendRequest("parts");
    fixture.backends.answer(lostAtServer());
    CHECK(fixture.backends.all == 2);
    CHECK(fixture.backends.open.front().server->id.text() != "");
    fixture.backends.answer(lostAtServer());
    CHECK(fixture.backends.all == 2);
    CHECK(fixture.answer->status == AnswerStatus::BadGateway);
}

TEST_CASE("A late request is hedged and the first answer wins", "[forward][hedge]")
{
    RoutingFixture fixture;
    fixture.addServer("p1", "parts");
    fixture.addServer("p2", "parts");
    fixture.setRoutes({RoutingFixture::route("parts")});
    fixture.sendRequest("parts");
    const std::string first = fixture.backends.open.front().server->id.text();
    fixture.runtime.advance(milliseconds(150));
    REQUIRE(fixture.backends.open.size() == 2);
    CHECK(fixture.journal.decisions == std::vector<std::string>{"hedge"});
    const std::string second = fixture.backends.open.back().server->id.text();
    CHECK(first != second);
    fixture.backends.answer(success("belt"), second);
    CHECK(fixture.answer->body == "belt");
    SECTION("the slower attempt may finish, which keeps its connection")
    {
        fixture.runtime.advance(milliseconds(100));
        CHECK(fixture.backends.isOpenAt(first));
        fixture.backends.answer(success("belt"), first);
        fixture.runtime.advance(seconds(1));
        CHECK(fixture.backends.cancelled.empty());
    }
    SECTION("a slower attempt that takes too long is cancelled")
    {
        fixture.runtime.advance(seconds(1));
        CHECK(fixture.backends.cancelled == std::vector<std::string>{first});
    }
}

TEST_CASE("Requests to servers are cancelled when the client disconnects", "[forward]")
{
    RoutingFixture fixture;
    fixture.addServer("p1", "parts");
    fixture.setRoutes({RoutingFixture::route("parts")});
    const ServedRequestId id = fixture.sendRequest("parts");
    CHECK(fixture.coordinator.pendingRequests() == 1);
    fixture.coordinator.onClientDisconnected(id);
    CHECK(fixture.backends.cancelled == std::vector<std::string>{"p1"});
    CHECK(fixture.coordinator.pendingRequests() == 0);
    fixture.runtime.advance(seconds(3));
    CHECK_FALSE(fixture.answer);
}

TEST_CASE("The server deadline is the earlier of the client's and the route's timeout", "[forward]")
{
    RoutingFixture fixture;
    fixture.addServer("p1", "parts");
    fixture.setRoutes({RoutingFixture::route("parts")});
    const TimePoint now = fixture.runtime.now();
    fixture.sendRequest("parts", milliseconds(700));
    CHECK(fixture.backends.open.back().deadline == now + milliseconds(700));
    fixture.sendRequest("parts", seconds(60));
    CHECK(fixture.backends.open.back().deadline == now + seconds(2));
    fixture.sendRequest("parts");
    CHECK(fixture.backends.open.back().deadline == now + seconds(2));
}

TEST_CASE("Requests that cannot be served are refused immediately", "[forward][refusal]")
{
    RoutingFixture fixture;
    SECTION("without a configuration the answer is Unavailable, not NotFound")
    {
        fixture.sendRequest("parts");
        CHECK(fixture.answer->status == AnswerStatus::Unavailable);
        CHECK(fixture.answer->retryAfter > Duration{0});
    }
    SECTION("the retry delay grows with the time without a configuration, up to a bound")
    {
        fixture.sendRequest("parts");
        const Duration first = fixture.answer->retryAfter;
        fixture.runtime.advance(seconds(2));
        fixture.sendRequest("parts");
        CHECK(fixture.answer->retryAfter > 2 * first);
        fixture.runtime.advance(seconds(60));
        fixture.sendRequest("parts");
        CHECK(fixture.answer->retryAfter < seconds(4));
    }
    SECTION("no route matches")
    {
        fixture.setRoutes({RoutingFixture::route("parts")});
        fixture.sendRequest("nothing");
        CHECK(fixture.answer->status == AnswerStatus::NotFound);
    }
    SECTION("the service has no server")
    {
        fixture.setRoutes({RoutingFixture::route("parts")});
        fixture.sendRequest("parts");
        CHECK(fixture.answer->status == AnswerStatus::Unavailable);
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
        // Lapsed entries may take two seconds to reappear.
        CHECK(fixture.answer->retryAfter > seconds(1));
    }
    SECTION("less urgent requests get a longer retry delay")
    {
        fixture.addServer("p1", "parts");
        fixture.addServer("s1", "scans");
        fixture.choice.setServices({{ServiceName("parts"), 1}, {ServiceName("scans"), 1}});
        Route urgent = RoutingFixture::route("parts");
        Route idle = RoutingFixture::route("scans");
        idle.priority = 3;
        fixture.setRoutes({urgent, idle});
        fixture.sendRequest("parts");
        fixture.sendRequest("scans");
        fixture.sendRequest("parts");
        const Duration first = fixture.answer->retryAfter;
        fixture.sendRequest("scans");
        CHECK(fixture.answer->retryAfter > first);
    }
}

TEST_CASE("Retries stay within the repeat budget when every request fails", "[forward][budget]")
{
    RoutingFixture fixture;
    fixture.budget.setTerms(RepeatTerms{0.2, seconds(10), 0});
    fixture.addServer("p1", "parts");
    fixture.addServer("p2", "parts");
    fixture.setRoutes({RoutingFixture::route("parts")});
    for (int request = 0; request < 500; ++request) {
        fixture.sendRequest("parts", std::nullopt, std::to_string(request));
        while (!fixture.backends.open.empty()) {
            fixture.backends.answer(lostAtServer());
        }
        fixture.runtime.advance(milliseconds(10));
    }
    CHECK(fixture.backends.all > 500);
    CHECK(fixture.backends.all <= 600);
    CHECK(fixture.counters.repeatsDenied > 0);
}
