#include <catch2/catch.hpp>

#include "routingbench.h"

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("A server's answer is passed on as it is", "[forward]")
{
    RoutingBench bench;
    bench.list("p1", "parts");
    bench.use({RoutingBench::route("parts")});
    bench.ask("parts");
    REQUIRE(bench.backends.open.size() == 1);
    SECTION("a success")
    {
        bench.backends.answer(success("belt"));
        CHECK(bench.answer->kind == ClientAnswer::Kind::Passed);
        CHECK(bench.answer->status == 200);
        CHECK(bench.answer->body == "belt");
        CHECK(bench.answer->signatures == std::vector<std::string>{"sig-belt"});
    }
    SECTION("a failure of the only server")
    {
        bench.backends.answer(ServerReply{500, "sig", {}, "broken"});
        CHECK(bench.answer->status == 500);
        CHECK(bench.answer->body == "broken");
    }
}

TEST_CASE("A request that may run once is sent again only where it certainly did not run", "[forward][once]")
{
    RoutingBench bench;
    bench.list("p1", "parts");
    bench.list("p2", "parts");
    Route route = RoutingBench::route("parts");
    route.repeatable = false;
    bench.use({route});
    bench.ask("parts");
    SECTION("the server did not run it: the other server gets it")
    {
        bench.backends.answer(refusedByServer());
        CHECK(bench.backends.all == 2);
        bench.backends.answer(success("invoice"));
        CHECK(bench.answer->kind == ClientAnswer::Kind::Passed);
    }
    SECTION("it may have run: the client hears that, and no server gets it again")
    {
        bench.backends.answer(lostAtServer());
        CHECK(bench.backends.all == 1);
        CHECK(bench.answer->kind == ClientAnswer::Kind::Failed);
        CHECK(bench.answer->status == AnswerStatus::BadGateway);
    }
    SECTION("the server is late: it is not hedged")
    {
        bench.runtime.advance(milliseconds(1900));
        CHECK(bench.backends.all == 1);
    }
    SECTION("nobody ran it: the refusal says so, and when to come back")
    {
        bench.backends.answer(refusedByServer());
        bench.backends.answer(refusedByServer());
        CHECK(bench.answer->kind == ClientAnswer::Kind::Refused);
        CHECK(bench.answer->status == AnswerStatus::Unavailable);
        CHECK(bench.answer->retryAfter > Duration{0});
    }
}

TEST_CASE("A repeatable request is sent to no more servers than the route's attempts", "[forward]")
{
    RoutingBench bench;
    for (const char *id : {"p1", "p2", "p3", "p4"}) {
        bench.list(id, "parts");
    }
    bench.use({RoutingBench::route("parts")});
    bench.ask("parts");
    bench.backends.answer(lostAtServer());
    CHECK(bench.backends.all == 2);
    CHECK(bench.backends.open.front().server->id.text() != "");
    bench.backends.answer(lostAtServer());
    CHECK(bench.backends.all == 2);
    CHECK(bench.answer->status == AnswerStatus::BadGateway);
}

TEST_CASE("A late answer is hedged and the first answer wins", "[forward][hedge]")
{
    RoutingBench bench;
    bench.list("p1", "parts");
    bench.list("p2", "parts");
    bench.use({RoutingBench::route("parts")});
    bench.ask("parts");
    const std::string first = bench.backends.open.front().server->id.text();
    bench.runtime.advance(milliseconds(150));
    REQUIRE(bench.backends.open.size() == 2);
    CHECK(bench.journal.decisions == std::vector<std::string>{"hedge"});
    const std::string second = bench.backends.open.back().server->id.text();
    CHECK(first != second);
    bench.backends.answer(success("belt"), second);
    CHECK(bench.answer->body == "belt");
    SECTION("the loser may end by itself, which keeps its connection")
    {
        bench.runtime.advance(milliseconds(100));
        CHECK(bench.backends.openAt(first));
        bench.backends.answer(success("belt"), first);
        bench.runtime.advance(seconds(1));
        CHECK(bench.backends.cancelled.empty());
    }
    SECTION("a loser that takes long is given up")
    {
        bench.runtime.advance(seconds(1));
        CHECK(bench.backends.cancelled == std::vector<std::string>{first});
    }
}

TEST_CASE("A client that leaves takes its requests to servers along", "[forward]")
{
    RoutingBench bench;
    bench.list("p1", "parts");
    bench.use({RoutingBench::route("parts")});
    const DeskId id = bench.ask("parts");
    CHECK(bench.desk.waiting() == 1);
    bench.desk.clientGone(id);
    CHECK(bench.backends.cancelled == std::vector<std::string>{"p1"});
    CHECK(bench.desk.waiting() == 0);
    bench.runtime.advance(seconds(3));
    CHECK_FALSE(bench.answer);
}

TEST_CASE("The servers' time ends with the client's patience or the route's timeout, whichever is first", "[forward]")
{
    RoutingBench bench;
    bench.list("p1", "parts");
    bench.use({RoutingBench::route("parts")});
    const TimePoint now = bench.runtime.now();
    bench.ask("parts", milliseconds(700));
    CHECK(bench.backends.open.back().deadline == now + milliseconds(700));
    bench.ask("parts", seconds(60));
    CHECK(bench.backends.open.back().deadline == now + seconds(2));
    bench.ask("parts");
    CHECK(bench.backends.open.back().deadline == now + seconds(2));
}

TEST_CASE("What cannot be served is refused at once", "[forward][refusal]")
{
    RoutingBench bench;
    SECTION("no configuration is known: that is no reason to say that there is no such route")
    {
        bench.ask("parts");
        CHECK(bench.answer->status == AnswerStatus::Unavailable);
        CHECK(bench.answer->retryAfter > Duration{0});
    }
    SECTION("the longer it lacks one, the later it is worth another try")
    {
        bench.ask("parts");
        const Duration first = bench.answer->retryAfter;
        bench.runtime.advance(seconds(2));
        bench.ask("parts");
        CHECK(bench.answer->retryAfter > 2 * first);
        bench.runtime.advance(seconds(60));
        bench.ask("parts");
        CHECK(bench.answer->retryAfter < seconds(4));
    }
    SECTION("no route matches")
    {
        bench.use({RoutingBench::route("parts")});
        bench.ask("nothing");
        CHECK(bench.answer->status == AnswerStatus::NotFound);
    }
    SECTION("the service has no server")
    {
        bench.use({RoutingBench::route("parts")});
        bench.ask("parts");
        CHECK(bench.answer->status == AnswerStatus::Unavailable);
        CHECK(bench.answer->kind == ClientAnswer::Kind::Refused);
        // Entries that lapsed may take two seconds to come back.
        CHECK(bench.answer->retryAfter > seconds(1));
    }
    SECTION("less urgent requests are told to come back later than urgent ones")
    {
        bench.list("p1", "parts");
        bench.list("s1", "scans");
        bench.choice.setConnections({{ServiceName("parts"), 1}, {ServiceName("scans"), 1}});
        Route urgent = RoutingBench::route("parts");
        Route idle = RoutingBench::route("scans");
        idle.priority = 3;
        bench.use({urgent, idle});
        bench.ask("parts");
        bench.ask("scans");
        bench.ask("parts");
        const Duration first = bench.answer->retryAfter;
        bench.ask("scans");
        CHECK(bench.answer->retryAfter > first);
    }
}

TEST_CASE("A storm of failures keeps to the repeat budget", "[forward][budget]")
{
    RoutingBench bench;
    bench.budget.setTerms(RepeatTerms{0.2, seconds(10), 0});
    bench.list("p1", "parts");
    bench.list("p2", "parts");
    bench.use({RoutingBench::route("parts")});
    for (int request = 0; request < 500; ++request) {
        bench.ask("parts");
        while (!bench.backends.open.empty()) {
            bench.backends.answer(lostAtServer());
        }
        bench.runtime.advance(milliseconds(10));
    }
    CHECK(bench.backends.all > 500);
    CHECK(bench.backends.all <= 600);
    CHECK(bench.counters.repeatsDenied > 0);
}
