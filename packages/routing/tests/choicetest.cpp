#include <catch2/catch.hpp>

#include "routingbench.h"

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Sends requests to the chosen server, which takes `took` of the server's own; gives how many went to each.
std::map<std::string, int> play(RoutingBench &bench, int requests, const std::map<std::string, Duration> &took)
{
    const Route route = RoutingBench::route("parts");
    std::map<std::string, int> counts;
    for (int request = 0; request < requests; ++request) {
        const ChosenServer chosen = bench.choice.choose(route, ServiceName("parts"), {}, bench.runtime.now());
        REQUIRE(chosen.server);
        const std::string id = chosen.server->id.text();
        ++counts[id];
        const TimePoint sentAt = bench.runtime.now();
        bench.choice.sent(*chosen.server, sentAt);
        bench.runtime.advance(took.at(id));
        bench.choice.answered(route, *chosen.server, sentAt, bench.runtime.now());
    }
    return counts;
}

} // namespace

TEST_CASE("Requests stay in the region while its server is quick", "[choice]")
{
    RoutingBench bench;
    bench.list("near1", "parts");
    bench.list("far1", "parts", RoutingBench::Far);
    const auto counts = play(bench, 100, {{"near1", milliseconds(20)}, {"far1", milliseconds(50)}});
    CHECK(counts.at("near1") == 100);
}

TEST_CASE("A server that turns slow is passed over after some requests and tried again later", "[choice]")
{
    RoutingBench bench;
    bench.list("near1", "parts");
    bench.list("far1", "parts", RoutingBench::Far);
    play(bench, 50, {{"near1", milliseconds(20)}, {"far1", milliseconds(50)}});
    const auto slow = play(bench, 60, {{"near1", milliseconds(200)}, {"far1", milliseconds(50)}});
    CHECK(slow.at("far1") > 30);
    const auto again = play(bench, 200, {{"near1", milliseconds(20)}, {"far1", milliseconds(50)}});
    CHECK(again.at("near1") > 100);
}

TEST_CASE("A server with an overdue request gets no more where another is free", "[choice][pause]")
{
    RoutingBench bench;
    bench.list("near1", "parts");
    bench.list("far1", "parts", RoutingBench::Far);
    const Route route = RoutingBench::route("parts");
    play(bench, 50, {{"near1", milliseconds(20)}, {"far1", milliseconds(50)}});
    const ChosenServer paused = bench.choice.choose(route, ServiceName("parts"), {}, bench.runtime.now());
    REQUIRE(paused.server->id.text() == "near1");
    bench.choice.sent(*paused.server, bench.runtime.now());
    bench.runtime.advance(milliseconds(90));
    CHECK(bench.choice.choose(route, ServiceName("parts"), {}, bench.runtime.now()).server->id.text() == "far1");
}

TEST_CASE("A server that begins another life under its id is not judged by the earlier one", "[choice][life]")
{
    RoutingBench bench;
    bench.list("near1", "parts");
    const Route route = RoutingBench::route("parts");
    const auto rested = [&] { return bench.choice.choose(route, ServiceName("parts"), {}, bench.runtime.now()).server == nullptr; };
    bench.load.sent(ServerId("near1"), bench.runtime.now());
    bench.load.refused(ServerId("near1"), bench.runtime.now(), bench.runtime.now());
    REQUIRE(rested());
    ServerEntry reborn = *bench.servers.servers(ServiceName("parts")).front();
    reborn.born = 2;
    bench.servers.put(reborn);
    CHECK_FALSE(rested());
    CHECK(bench.load.failing(ServerId("near1"), bench.runtime.now()) == 0);
}

TEST_CASE("A server that has just started is passed over until its own answers are measured or it is warm", "[choice][cold]")
{
    RoutingBench bench;
    bench.list("near1", "parts");
    const Route route = RoutingBench::route("parts");
    const auto chosen = [&] { return bench.choice.choose(route, ServiceName("parts"), {}, bench.runtime.now()); };
    play(bench, 50, {{"near1", milliseconds(20)}});
    ServerEntry cold = *chosen().server;
    cold.id = ServerId("near2");
    cold.address.port = 9000;
    cold.coldFor = seconds(3);
    bench.servers.put(cold);
    CHECK(chosen().server->id.text() == "near1");
    SECTION("the first server is busy: the cold one is of use, and waited for longer")
    {
        for (int request = 0; request < 8; ++request) {
            bench.choice.sent(*bench.servers.servers(ServiceName("parts")).front(), bench.runtime.now());
        }
        REQUIRE(chosen().server->id.text() == "near2");
        CHECK(chosen().expected >= milliseconds(29));
    }
    SECTION("it is warm after the time that it told")
    {
        bench.runtime.advance(seconds(4));
        const auto counts = play(bench, 20, {{"near1", milliseconds(20)}, {"near2", milliseconds(5)}});
        CHECK(counts.at("near2") > 10);
    }
}

TEST_CASE("A server that fails part of its requests is passed over, though it is quick", "[choice][grey]")
{
    RoutingBench bench;
    bench.list("near1", "parts");
    bench.list("near2", "parts");
    const Route route = RoutingBench::route("parts");
    int grey = 0;
    for (int request = 0; request < 200; ++request) {
        const ChosenServer chosen = bench.choice.choose(route, ServiceName("parts"), {}, bench.runtime.now());
        const TimePoint sentAt = bench.runtime.now();
        bench.choice.sent(*chosen.server, sentAt);
        bench.runtime.advance(milliseconds(20));
        const bool fails = chosen.server->id.text() == "near1" && request % 2 == 0;
        grey += chosen.server->id.text() == "near1" ? 1 : 0;
        if (fails) {
            bench.load.failed(chosen.server->id, sentAt, bench.runtime.now());
        } else {
            bench.choice.answered(route, *chosen.server, sentAt, bench.runtime.now());
        }
    }
    CHECK(grey < 60);
}

TEST_CASE("A server that never answers is passed over also after its requests were given up", "[choice][hang]")
{
    RoutingBench bench;
    bench.list("near1", "parts");
    bench.list("far1", "parts", RoutingBench::Far);
    const Route route = RoutingBench::route("parts");
    play(bench, 50, {{"near1", milliseconds(20)}, {"far1", milliseconds(50)}});
    int toHanging = 0;
    for (int request = 0; request < 40; ++request) {
        const ChosenServer chosen = bench.choice.choose(route, ServiceName("parts"), {}, bench.runtime.now());
        const TimePoint sentAt = bench.runtime.now();
        bench.choice.sent(*chosen.server, sentAt);
        if (chosen.server->id.text() == "near1") {
            ++toHanging;
            bench.runtime.advance(milliseconds(350));
            bench.choice.givenUp(route, *chosen.server, sentAt, bench.runtime.now());
        } else {
            bench.runtime.advance(milliseconds(50));
            bench.choice.answered(route, *chosen.server, sentAt, bench.runtime.now());
        }
    }
    CHECK(toHanging < 10);
    SECTION("one that is given up early is not blamed")
    {
        const double before = bench.load.failing(ServerId("far1"), bench.runtime.now());
        const ChosenServer chosen = bench.choice.choose(route, ServiceName("parts"), {}, bench.runtime.now());
        bench.choice.sent(*chosen.server, bench.runtime.now());
        bench.choice.givenUp(route, *chosen.server, bench.runtime.now(), bench.runtime.now());
        CHECK(bench.load.failing(ServerId("far1"), bench.runtime.now()) <= before);
    }
}

TEST_CASE("A server that refuses rests for a while, longer with each refusal in a row", "[choice][load]")
{
    ServerLoad load;
    const ServerId server("p1");
    const TimePoint start{seconds(10)};
    load.sent(server, start);
    load.refused(server, start, start);
    const Duration first = load.restsUntil(server) - start;
    load.sent(server, start);
    load.refused(server, start, start);
    const Duration second = load.restsUntil(server) - start;
    CHECK(second > first);
    load.sent(server, start);
    load.answered(server, start, start);
    load.sent(server, start);
    load.refused(server, start, start);
    CHECK(load.restsUntil(server) - start == first);
}

TEST_CASE("No server gets more requests than this instance's part of its connections", "[choice][connections]")
{
    RoutingBench bench;
    bench.list("near1", "parts");
    bench.choice.setConnections({{ServiceName("parts"), 20}});
    bench.choice.setInstances(2, 4, true);
    CHECK(bench.choice.connectionShare(ServiceName("parts")) == 4);
    const Route route = RoutingBench::route("parts");
    for (int request = 0; request < 4; ++request) {
        const ChosenServer chosen = bench.choice.choose(route, ServiceName("parts"), {}, bench.runtime.now());
        REQUIRE(chosen.server);
        bench.choice.sent(*chosen.server, bench.runtime.now());
    }
    CHECK_FALSE(bench.choice.choose(route, ServiceName("parts"), {}, bench.runtime.now()).server);
    SECTION("an instance that clients are not sent to keeps to one")
    {
        bench.choice.setInstances(2, 4, false);
        CHECK(bench.choice.connectionShare(ServiceName("parts")) == 1);
    }
}

TEST_CASE("Hedges follow the share of requests that was hedged", "[hedge]")
{
    HedgePace pace;
    const double start = pace.multiple("r");
    for (int request = 0; request < 1000; ++request) {
        pace.inTime("r");
    }
    CHECK(pace.multiple("r") < start);
    CHECK(pace.multiple("r") >= 1);
    for (int request = 0; request < 1000; ++request) {
        pace.late("r");
    }
    CHECK(pace.multiple("r") > start);
    CHECK(pace.multiple("other") == start);
}

TEST_CASE("One pause hardly changes what a server is expected to take, a run of slow answers does", "[latency]")
{
    LatencyBook book;
    const ServerId server("p1");
    const Duration target = milliseconds(200);
    TimePoint now{seconds(100)};
    const auto answered = [&](Duration took) {
        now += milliseconds(50);
        book.answered("r", target, server, Distance::SameRegion, took, now);
    };
    const auto expected = [&] { return book.expected("r", target, server, Distance::SameRegion, now); };
    CHECK(expected() == milliseconds(20));
    for (int sample = 0; sample < 50; ++sample) {
        answered(milliseconds(20));
    }
    answered(milliseconds(320));
    CHECK(expected() < milliseconds(30));
    for (int sample = 0; sample < 30; ++sample) {
        answered(milliseconds(160));
    }
    CHECK(expected() > milliseconds(90));
    SECTION("without fresh samples the estimate returns to the usual")
    {
        const Duration before = expected();
        now += seconds(20);
        CHECK(expected() < before);
    }
    SECTION("another region is expected to be farther before anything is known of it")
    {
        CHECK(book.usual("new", target, Distance::OtherRegion) > book.usual("new", target, Distance::SameRegion));
    }
}
