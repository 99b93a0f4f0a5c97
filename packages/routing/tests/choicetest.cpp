#include <catch2/catch.hpp>

#include "routingfixture.h"

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Sends requests to the chosen server, which answers after its latency in `took`; returns the number of requests per server.
std::map<std::string, int> sendRequests(RoutingFixture &fixture, int requests, const std::map<std::string, Duration> &took)
{
    const Route route = RoutingFixture::route("parts");
    std::map<std::string, int> counts;
    for (int request = 0; request < requests; ++request) {
        const ChosenServer chosen = fixture.choice.choose(route, ServiceName("parts"), {}, fixture.runtime.now());
        REQUIRE(chosen.server);
        const std::string id = chosen.server->id.text();
        ++counts[id];
        const TimePoint sentAt = fixture.runtime.now();
        fixture.choice.onSent(route, *chosen.server, sentAt);
        fixture.runtime.advance(took.at(id));
        fixture.choice.onAnswered(route, *chosen.server, sentAt, fixture.runtime.now());
    }
    return counts;
}

} // namespace

TEST_CASE("Requests stay in the region while its server is fast", "[choice]")
{
    RoutingFixture fixture;
    fixture.addServer("near1", "parts");
    fixture.addServer("far1", "parts", RoutingFixture::Far);
    const auto counts = sendRequests(fixture, 100, {{"near1", milliseconds(20)}, {"far1", milliseconds(50)}});
    CHECK(counts.at("near1") == 100);
}

TEST_CASE("A server that becomes slow is avoided after some requests and tried again later", "[choice]")
{
    RoutingFixture fixture;
    fixture.addServer("near1", "parts");
    fixture.addServer("far1", "parts", RoutingFixture::Far);
    sendRequests(fixture, 50, {{"near1", milliseconds(20)}, {"far1", milliseconds(50)}});
    const auto slow = sendRequests(fixture, 60, {{"near1", milliseconds(200)}, {"far1", milliseconds(50)}});
    CHECK(slow.at("far1") > 30);
    const auto again = sendRequests(fixture, 200, {{"near1", milliseconds(20)}, {"far1", milliseconds(50)}});
    CHECK(again.at("near1") > 100);
}

TEST_CASE("A server with an overdue request is avoided while another is free", "[choice][pause]")
{
    RoutingFixture fixture;
    fixture.addServer("near1", "parts");
    fixture.addServer("far1", "parts", RoutingFixture::Far);
    const Route route = RoutingFixture::route("parts");
    sendRequests(fixture, 50, {{"near1", milliseconds(20)}, {"far1", milliseconds(50)}});
    const ChosenServer paused = fixture.choice.choose(route, ServiceName("parts"), {}, fixture.runtime.now());
    REQUIRE(paused.server->id.text() == "near1");
    fixture.choice.onSent(route, *paused.server, fixture.runtime.now());
    fixture.runtime.advance(milliseconds(90));
    CHECK(fixture.choice.choose(route, ServiceName("parts"), {}, fixture.runtime.now()).server->id.text() == "far1");
}

TEST_CASE("A server that restarts under the same id starts with fresh statistics", "[choice][life]")
{
    RoutingFixture fixture;
    fixture.addServer("near1", "parts");
    const Route route = RoutingFixture::route("parts");
    const auto inBackoff = [&] { return fixture.choice.choose(route, ServiceName("parts"), {}, fixture.runtime.now()).server == nullptr; };
    fixture.load.onSent(ServerId("near1"), {fixture.runtime.now()});
    fixture.load.onRefused(ServerId("near1"), fixture.runtime.now(), fixture.runtime.now());
    REQUIRE(inBackoff());
    ServerEntry restarted = *fixture.servers.servers(ServiceName("parts")).front();
    restarted.born = 2;
    fixture.servers.put(restarted);
    CHECK_FALSE(inBackoff());
    CHECK(fixture.load.failureRate(ServerId("near1"), fixture.runtime.now()) == 0);
}

TEST_CASE("A server that has just started is avoided until its latency is measured or its cold phase ends", "[choice][cold]")
{
    RoutingFixture fixture;
    fixture.addServer("near1", "parts");
    const Route route = RoutingFixture::route("parts");
    const auto chosen = [&] { return fixture.choice.choose(route, ServiceName("parts"), {}, fixture.runtime.now()); };
    sendRequests(fixture, 50, {{"near1", milliseconds(20)}});
    ServerEntry cold = *chosen().server;
    cold.id = ServerId("near2");
    cold.address.port = 9000;
    cold.coldFor = seconds(3);
    fixture.servers.put(cold);
    CHECK(chosen().server->id.text() == "near1");
    SECTION("the cold server is used with a longer expected latency while the other is busy")
    {
        for (int request = 0; request < 8; ++request) {
            fixture.choice.onSent(route, *fixture.servers.servers(ServiceName("parts")).front(), fixture.runtime.now());
        }
        REQUIRE(chosen().server->id.text() == "near2");
        CHECK(chosen().expected >= milliseconds(29));
    }
    SECTION("the cold phase ends after the reported time")
    {
        fixture.runtime.advance(seconds(4));
        const auto counts = sendRequests(fixture, 20, {{"near1", milliseconds(20)}, {"near2", milliseconds(5)}});
        CHECK(counts.at("near2") > 10);
    }
}

TEST_CASE("A fast server that fails some of its requests is avoided", "[choice][grey]")
{
    RoutingFixture fixture;
    fixture.addServer("near1", "parts");
    fixture.addServer("near2", "parts");
    const Route route = RoutingFixture::route("parts");
    int toFailing = 0;
    for (int request = 0; request < 200; ++request) {
        const ChosenServer chosen = fixture.choice.choose(route, ServiceName("parts"), {}, fixture.runtime.now());
        const TimePoint sentAt = fixture.runtime.now();
        fixture.choice.onSent(route, *chosen.server, sentAt);
        fixture.runtime.advance(milliseconds(20));
        const bool fails = chosen.server->id.text() == "near1" && request % 2 == 0;
        toFailing += chosen.server->id.text() == "near1" ? 1 : 0;
        if (fails) {
            fixture.load.onFailed(chosen.server->id, sentAt, fixture.runtime.now());
        } else {
            fixture.choice.onAnswered(route, *chosen.server, sentAt, fixture.runtime.now());
        }
    }
    CHECK(toFailing < 60);
}

TEST_CASE("A server that never answers is avoided even after its requests were abandoned", "[choice][hang]")
{
    RoutingFixture fixture;
    fixture.addServer("near1", "parts");
    fixture.addServer("far1", "parts", RoutingFixture::Far);
    const Route route = RoutingFixture::route("parts");
    sendRequests(fixture, 50, {{"near1", milliseconds(20)}, {"far1", milliseconds(50)}});
    int toHanging = 0;
    for (int request = 0; request < 40; ++request) {
        const ChosenServer chosen = fixture.choice.choose(route, ServiceName("parts"), {}, fixture.runtime.now());
        const TimePoint sentAt = fixture.runtime.now();
        fixture.choice.onSent(route, *chosen.server, sentAt);
        if (chosen.server->id.text() == "near1") {
            ++toHanging;
            fixture.runtime.advance(milliseconds(350));
            fixture.choice.onAbandoned(route, *chosen.server, sentAt, fixture.runtime.now());
        } else {
            fixture.runtime.advance(milliseconds(50));
            fixture.choice.onAnswered(route, *chosen.server, sentAt, fixture.runtime.now());
        }
    }
    CHECK(toHanging < 10);
    SECTION("a request abandoned early does not raise the failure rate")
    {
        const double before = fixture.load.failureRate(ServerId("far1"), fixture.runtime.now());
        const ChosenServer chosen = fixture.choice.choose(route, ServiceName("parts"), {}, fixture.runtime.now());
        fixture.choice.onSent(route, *chosen.server, fixture.runtime.now());
        fixture.choice.onAbandoned(route, *chosen.server, fixture.runtime.now(), fixture.runtime.now());
        CHECK(fixture.load.failureRate(ServerId("far1"), fixture.runtime.now()) <= before);
    }
}

TEST_CASE("The backoff after a refusal grows with each consecutive refusal", "[choice][load]")
{
    ServerLoad load;
    const ServerId server("p1");
    const TimePoint start{seconds(10)};
    load.onSent(server, {start});
    load.onRefused(server, start, start);
    const Duration first = load.backoffUntil(server) - start;
    load.onSent(server, {start});
    load.onRefused(server, start, start);
    const Duration second = load.backoffUntil(server) - start;
    CHECK(second > first);
    load.onSent(server, {start});
    load.onAnswered(server, start, start);
    load.onSent(server, {start});
    load.onRefused(server, start, start);
    CHECK(load.backoffUntil(server) - start == first);
}

TEST_CASE("Requests in flight per server are limited to this instance's share of its connections", "[choice][connections]")
{
    RoutingFixture fixture;
    fixture.addServer("near1", "parts");
    fixture.choice.setServices({{ServiceName("parts"), 20}});
    fixture.choice.setConnectionFraction(0.8 / 4);
    CHECK(fixture.choice.connectionShare(ServiceName("parts")) == 4);
    const Route route = RoutingFixture::route("parts");
    for (int request = 0; request < 4; ++request) {
        const ChosenServer chosen = fixture.choice.choose(route, ServiceName("parts"), {}, fixture.runtime.now());
        REQUIRE(chosen.server);
        fixture.choice.onSent(route, *chosen.server, fixture.runtime.now());
    }
    CHECK_FALSE(fixture.choice.choose(route, ServiceName("parts"), {}, fixture.runtime.now()).server);
    SECTION("an instance that clients are not directed to uses one connection")
    {
        fixture.choice.setConnectionFraction(0);
        CHECK(fixture.choice.connectionShare(ServiceName("parts")) == 1);
    }
}

TEST_CASE("The hedge threshold adapts to the share of hedged requests", "[hedge]")
{
    HedgeThreshold threshold;
    const double start = threshold.multiple("r");
    for (int request = 0; request < 1000; ++request) {
        threshold.onNotHedged("r");
    }
    CHECK(threshold.multiple("r") < start);
    CHECK(threshold.multiple("r") >= 1);
    for (int request = 0; request < 1000; ++request) {
        threshold.onHedged("r");
    }
    CHECK(threshold.multiple("r") > start);
    CHECK(threshold.multiple("other") == start);
}

TEST_CASE("One slow answer hardly changes the expected latency, a run of slow answers does", "[latency]")
{
    LatencyTracker tracker;
    const ServerId server("p1");
    const Duration target = milliseconds(200);
    TimePoint now{seconds(100)};
    const auto answered = [&](Duration took) {
        now += milliseconds(50);
        tracker.addSample("r", target, server, Distance::SameRegion, took, now);
    };
    const auto expected = [&] { return tracker.expected("r", target, server, Distance::SameRegion, now); };
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
    SECTION("without new samples the estimate decays to the typical latency")
    {
        const Duration before = expected();
        now += seconds(20);
        CHECK(expected() < before);
    }
    SECTION("another region has a higher initial estimate")
    {
        CHECK(tracker.typical("new", target, Distance::OtherRegion) > tracker.typical("new", target, Distance::SameRegion));
    }
}
