#include <catch2/catch.hpp>

#include "routingfixture.h"

#include <burdock/routing/reachtrials.h>

#include <set>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr Duration Overdue = milliseconds(60);

/// Ten services with two servers each, and the reach of an instance that sends requests to them.
struct ReachFixture
{
    explicit ReachFixture(std::size_t services = 10, std::size_t serversEach = 2)
    {
        for (std::size_t service = 0; service < services; ++service) {
            for (std::size_t server = 0; server < serversEach; ++server) {
                const std::string name = "s" + std::to_string(service);
                servers.put(
                    {ServerId(name + "-" + std::to_string(server)), ServiceName(name), Address{"10.0.0.1", ++port}, DataCentre("a"), false, 4, Duration{0}, 1});
            }
        }
    }

    ServerReach::AttemptId send(std::size_t service, std::size_t server = 0, Duration overdueAfter = Overdue)
    {
        return reach.onSent(*servers.servers(ServiceName("s" + std::to_string(service))).at(server), overdueAfter);
    }

    /// Sends a request to the first server of each of the first `count` services.
    std::vector<ServerReach::AttemptId> sendToEach(std::size_t count)
    {
        std::vector<ServerReach::AttemptId> sent;
        for (std::size_t service = 0; service < count; ++service) {
            sent.push_back(send(service));
        }
        return sent;
    }

    /// Sends a request that is answered at once.
    void respond()
    {
        reach.onEnded(send(0), ReachOutcome::Response);
    }

    void cutOff()
    {
        sendToEach(10);
        runtime.advance(milliseconds(250));
        REQUIRE(reach.isCutOff());
    }

    ManualRuntime runtime;
    ServerTable servers{[](const ServerEntry &, bool) {}};
    std::vector<ReachChange> changes;
    int suspicions = 0;
    std::function<bool()> onSuspected = [] { return false; };
    ServerReach reach{runtime,
                      servers,
                      [this](const ReachChange &change) { changes.push_back(change); },
                      [this] {
                          ++suspicions;
                          return onSuspected();
                      }};
    std::uint16_t port = 8000;
};

} // namespace

TEST_CASE("An instance that no server answers any more counts as cut off within a quarter of a second", "[reach]")
{
    ReachFixture fixture;
    fixture.respond();
    fixture.sendToEach(10);
    fixture.runtime.advance(milliseconds(90));
    CHECK_FALSE(fixture.reach.isCutOff());
    fixture.runtime.advance(milliseconds(160));
    CHECK(fixture.reach.isCutOff());
    REQUIRE(fixture.changes.size() == 1);
    CHECK(fixture.changes.front().cutOff);
    CHECK(fixture.changes.front().servers == 10);
    CHECK(fixture.changes.front().how == std::string("silent"));
    CHECK(fixture.changes.front().sinceResponse >= milliseconds(150));
}

TEST_CASE("A busy instance counts as cut off although it goes on sending requests", "[reach]")
{
    ReachFixture fixture;
    fixture.respond();
    for (int request = 0; request < 25; ++request) {
        fixture.sendToEach(10);
        fixture.runtime.advance(milliseconds(10));
    }
    CHECK(fixture.reach.isCutOff());
}

TEST_CASE("An instance that all servers refuse counts as cut off at once", "[reach]")
{
    ReachFixture fixture;
    fixture.respond();
    fixture.runtime.advance(milliseconds(5));
    for (const auto attempt : fixture.sendToEach(10)) {
        CHECK_FALSE(fixture.reach.isCutOff());
        fixture.reach.onEnded(attempt, ReachOutcome::NotConnected);
    }
    CHECK(fixture.reach.isCutOff());
    fixture.runtime.advance(Duration{0});
    REQUIRE(fixture.changes.size() == 1);
    CHECK(fixture.changes.front().how == std::string("failed"));
}

TEST_CASE("Silent servers of some shards do not make an instance count as cut off while the other shards answer", "[reach]")
{
    ReachFixture fixture;
    for (int request = 0; request < 5; ++request) {
        const auto sent = fixture.sendToEach(10);
        fixture.runtime.advance(milliseconds(30));
        for (std::size_t shard = 6; shard < 10; ++shard) {
            fixture.reach.onEnded(sent.at(shard), ReachOutcome::Response);
        }
        fixture.runtime.advance(seconds(1));
        CHECK_FALSE(fixture.reach.isCutOff());
    }
    CHECK(fixture.changes.empty());
}

TEST_CASE("Servers of some shards that refuse connections do not make an instance count as cut off before the others answer", "[reach]")
{
    ReachFixture fixture;
    const auto sent = fixture.sendToEach(10);
    for (std::size_t shard = 0; shard < 6; ++shard) {
        fixture.reach.onEnded(sent.at(shard), ReachOutcome::NotConnected);
    }
    fixture.runtime.advance(milliseconds(50));
    CHECK_FALSE(fixture.reach.isCutOff());
    CHECK(fixture.reach.isImpaired(fixture.runtime.now()));
    fixture.reach.onEnded(sent.at(9), ReachOutcome::Response);
    fixture.runtime.advance(seconds(2));
    CHECK_FALSE(fixture.reach.isCutOff());
    CHECK_FALSE(fixture.reach.isImpaired(fixture.runtime.now()));
}

TEST_CASE("One service whose servers are all down does not make an instance count as cut off", "[reach]")
{
    ReachFixture fixture(3, 8);
    fixture.respond();
    SECTION("its servers refuse connections")
    {
        for (std::size_t server = 0; server < 8; ++server) {
            fixture.reach.onEnded(fixture.send(1, server), ReachOutcome::NotConnected);
        }
    }
    SECTION("its servers are silent")
    {
        for (std::size_t server = 0; server < 8; ++server) {
            fixture.send(1, server);
        }
    }
    fixture.runtime.advance(seconds(2));
    CHECK_FALSE(fixture.reach.isCutOff());
}

TEST_CASE("Long one-server requests do not make an instance count as cut off before their answers are overdue", "[reach]")
{
    ReachFixture fixture;
    fixture.respond();
    for (std::size_t service = 0; service < 8; ++service) {
        fixture.send(service, 0, seconds(1));
    }
    fixture.runtime.advance(milliseconds(900));
    CHECK_FALSE(fixture.reach.isCutOff());
}

TEST_CASE("A single silent server does not make an instance count as cut off however many requests wait there", "[reach]")
{
    ReachFixture fixture;
    fixture.respond();
    for (int request = 0; request < 20; ++request) {
        fixture.send(1);
    }
    fixture.runtime.advance(seconds(2));
    CHECK_FALSE(fixture.reach.isCutOff());
}

TEST_CASE("An instance that was suspended does not count as cut off before it has read the waiting answers", "[reach][pause]")
{
    ReachFixture fixture;
    fixture.respond();
    const auto sent = fixture.sendToEach(10);
    fixture.runtime.advance(milliseconds(20));
    fixture.runtime.freezeFor(seconds(3));
    SECTION("the timers fire before the answers are read")
    {
        fixture.runtime.advance(Duration{0});
        CHECK_FALSE(fixture.reach.isCutOff());
    }
    SECTION("calls time out before the answers are read")
    {
        fixture.reach.onEnded(sent.at(0), ReachOutcome::NoResponse);
        fixture.runtime.advance(Duration{0});
        fixture.reach.onEnded(sent.at(1), ReachOutcome::NoResponse);
        CHECK_FALSE(fixture.reach.isCutOff());
    }
    fixture.reach.onEnded(sent.at(2), ReachOutcome::Response);
    fixture.runtime.advance(milliseconds(200));
    CHECK_FALSE(fixture.reach.isCutOff());
}

TEST_CASE("An instance that wakes up cut off notices it from the requests that it sends then", "[reach][pause]")
{
    ReachFixture fixture;
    fixture.sendToEach(10);
    fixture.runtime.freezeFor(seconds(3));
    fixture.runtime.advance(milliseconds(200));
    CHECK_FALSE(fixture.reach.isCutOff());
    fixture.sendToEach(10);
    fixture.runtime.advance(milliseconds(160));
    CHECK(fixture.reach.isCutOff());
}

TEST_CASE("An instance whose loop is late all the time notices a cut, and reads waiting answers first", "[reach][pause]")
{
    ReachFixture fixture;
    fixture.respond();
    const auto sent = fixture.sendToEach(10);
    fixture.runtime.advance(milliseconds(40));
    fixture.runtime.freezeFor(milliseconds(120));
    fixture.runtime.advance(Duration{0});
    CHECK_FALSE(fixture.reach.isCutOff());
    const bool answered = GENERATE(true, false);
    if (answered) {
        fixture.reach.onEnded(sent.front(), ReachOutcome::Response);
    }
    fixture.runtime.freezeFor(milliseconds(100));
    fixture.runtime.advance(Duration{0});
    CHECK(fixture.reach.isCutOff() == !answered);
}

TEST_CASE("An instance whose new connections are reset like the kept ones counts as cut off at once", "[reach][reset]")
{
    ReachFixture fixture;
    fixture.respond();
    for (const auto attempt : fixture.sendToEach(10)) {
        fixture.reach.onEnded(attempt, ReachOutcome::Broken);
    }
    CHECK_FALSE(fixture.reach.isCutOff());
    fixture.reach.onEnded(fixture.send(0, 1), ReachOutcome::Broken);
    fixture.reach.onEnded(fixture.send(1, 1), ReachOutcome::Broken);
    // A request that crashes servers gets as far.
    CHECK_FALSE(fixture.reach.isCutOff());
    fixture.reach.onEnded(fixture.send(2, 1), ReachOutcome::Broken);
    CHECK(fixture.reach.isCutOff());
}

TEST_CASE("Connections that are all reset at once do not make an instance count as cut off while new ones can be made", "[reach][reset]")
{
    ReachFixture fixture;
    fixture.respond();
    std::vector<ServerReach::AttemptId> retries;
    for (const auto attempt : fixture.sendToEach(10)) {
        fixture.reach.onEnded(attempt, ReachOutcome::Broken);
        retries.push_back(fixture.send(retries.size(), 1));
    }
    fixture.runtime.advance(milliseconds(70));
    CHECK_FALSE(fixture.reach.isCutOff());
    fixture.reach.onEnded(retries.back(), ReachOutcome::Response);
    fixture.runtime.advance(seconds(1));
    CHECK_FALSE(fixture.reach.isCutOff());
    SECTION("nor if nothing is sent after the reset")
    {
        for (const auto attempt : fixture.sendToEach(10)) {
            fixture.reach.onEnded(attempt, ReachOutcome::Broken);
        }
        fixture.runtime.advance(seconds(1));
        CHECK_FALSE(fixture.reach.isCutOff());
    }
}

TEST_CASE("An instance whose connections are reset and cannot be made again counts as cut off", "[reach][reset]")
{
    ReachFixture fixture;
    fixture.respond();
    for (const auto attempt : fixture.sendToEach(10)) {
        fixture.reach.onEnded(attempt, ReachOutcome::Broken);
    }
    const bool refused = GENERATE(true, false);
    for (std::size_t service = 0; service < 2; ++service) {
        const auto retry = fixture.send(service, 1);
        if (refused) {
            fixture.reach.onEnded(retry, ReachOutcome::NotConnected);
        }
    }
    fixture.runtime.advance(refused ? Duration{0} : milliseconds(200));
    CHECK(fixture.reach.isCutOff());
}

TEST_CASE("Refused connections impair an instance while kept ones live on, and do not cut it off", "[reach]")
{
    ReachFixture fixture;
    for (int round = 0; round < 20; ++round) {
        fixture.reach.onEnded(fixture.send(1), ReachOutcome::NotConnected);
        fixture.respond();
        fixture.runtime.advance(milliseconds(20));
        CHECK_FALSE(fixture.reach.isImpaired(fixture.runtime.now()));
    }
    for (std::size_t service = 0; service < 10; ++service) {
        fixture.reach.onEnded(fixture.send(service, 1), ReachOutcome::NotConnected);
        fixture.respond();
        fixture.runtime.advance(milliseconds(20));
    }
    CHECK(fixture.reach.isImpaired(fixture.runtime.now()));
    CHECK_FALSE(fixture.reach.isCutOff());
}

TEST_CASE("An instance that knows only a few servers counts as cut off once all of them are silent", "[reach]")
{
    ReachFixture fixture(1, 3);
    fixture.respond();
    fixture.send(0, 0);
    fixture.send(0, 1);
    fixture.runtime.advance(milliseconds(300));
    CHECK_FALSE(fixture.reach.isCutOff());
    fixture.send(0, 2);
    fixture.runtime.advance(milliseconds(300));
    CHECK(fixture.reach.isCutOff());
}

TEST_CASE("Abandoned requests are evidence only if their answers were overdue", "[reach]")
{
    ReachFixture fixture;
    fixture.respond();
    const bool overdue = GENERATE(true, false);
    const auto sent = fixture.sendToEach(6);
    fixture.runtime.advance(overdue ? milliseconds(110) : milliseconds(40));
    for (const auto attempt : sent) {
        fixture.reach.onEnded(attempt, ReachOutcome::NoResponse);
    }
    fixture.send(7);
    fixture.runtime.advance(milliseconds(150));
    CHECK(fixture.reach.isCutOff() == overdue);
}

TEST_CASE("Any answer of a server ends the cut, and the instance stays unstable for a second", "[reach]")
{
    ReachFixture fixture;
    fixture.cutOff();
    const TimePoint before = fixture.runtime.now();
    fixture.runtime.advance(seconds(2));
    CHECK(fixture.reach.isUnstable(fixture.runtime.now()));
    fixture.respond();
    CHECK_FALSE(fixture.reach.isCutOff());
    CHECK(fixture.reach.isUnstable(fixture.runtime.now()));
    CHECK(fixture.reach.wasCutOffSince(before));
    fixture.runtime.advance(milliseconds(1100));
    CHECK_FALSE(fixture.reach.isUnstable(fixture.runtime.now()));
    CHECK_FALSE(fixture.reach.wasCutOffSince(fixture.runtime.now()));
    REQUIRE(fixture.changes.size() == 2);
    CHECK_FALSE(fixture.changes.back().cutOff);
    CHECK(fixture.changes.back().lasted >= seconds(2));
}

TEST_CASE("Requests that were sent in a cut and are never answered do not make the instance count as cut off after it", "[reach]")
{
    ReachFixture fixture;
    fixture.cutOff();
    const auto sent = fixture.sendToEach(10);
    fixture.respond();
    fixture.runtime.advance(seconds(1));
    for (const auto attempt : sent) {
        fixture.reach.onEnded(attempt, ReachOutcome::Broken);
    }
    fixture.runtime.advance(seconds(1));
    CHECK_FALSE(fixture.reach.isCutOff());
}

namespace
{

/// The trials of an instance; the test ends each.
struct TrialFixture : ReachFixture
{
    struct Asked
    {
        std::string server;
        std::string path;
        std::function<void(ReachOutcome)> done;
    };

    TrialFixture()
    {
        std::vector<RoutedService> described;
        for (int service = 0; service < 9; ++service) {
            described.push_back({ServiceName("s" + std::to_string(service)), 0, "/ok"});
        }
        trials.setServices(described);
    }

    std::vector<Asked> asked;
    ReachTrials trials{runtime,
                       servers,
                       reach,
                       [this](const ServerHandle &server, const std::string &path, Duration, std::function<void(ReachOutcome)> done) {
                           asked.push_back({server->id.text(), path, std::move(done)});
                       },
                       7};
};

} // namespace

TEST_CASE("While an instance is cut off it asks one server after the other until one responds", "[reach][trial]")
{
    TrialFixture fixture;
    fixture.trials.update();
    fixture.runtime.advance(seconds(2));
    CHECK(fixture.asked.empty());
    fixture.cutOff();
    fixture.trials.update();
    fixture.runtime.advance(seconds(9));
    CHECK(fixture.asked.size() == 18);
    std::set<std::string> distinct;
    for (const auto &each : fixture.asked) {
        distinct.insert(each.server);
        CHECK(each.path == "/ok");
        CHECK(each.server.rfind("s9", 0) != 0);
    }
    CHECK(distinct.size() == 18);
    SECTION("the first answer ends the cut and the trials")
    {
        fixture.asked.back().done(ReachOutcome::Response);
        CHECK_FALSE(fixture.reach.isCutOff());
        fixture.trials.update();
        fixture.runtime.advance(seconds(2));
        CHECK(fixture.asked.size() == 18);
    }
    SECTION("a server that is gone is not asked again")
    {
        fixture.servers.remove(ServerId("s1-0"), false);
        fixture.asked.clear();
        fixture.runtime.advance(seconds(9));
        CHECK(std::none_of(fixture.asked.begin(), fixture.asked.end(), [](const auto &each) { return each.server == "s1-0"; }));
    }
}

TEST_CASE("An instance that was cut off recovers also if no service has a health path", "[reach][trial]")
{
    TrialFixture fixture;
    fixture.trials.setServices({{ServiceName("s0"), 0, ""}});
    fixture.cutOff();
    fixture.trials.update();
    fixture.runtime.advance(milliseconds(400));
    CHECK(fixture.reach.isCutOff());
    fixture.runtime.advance(milliseconds(200));
    CHECK_FALSE(fixture.reach.isCutOff());
    CHECK(fixture.asked.empty());
    CHECK(fixture.reach.isUnstable(fixture.runtime.now()));
}

TEST_CASE("An instance that gets few requests, all for one service, notices a cut by asking servers of others", "[reach][trial]")
{
    TrialFixture fixture;
    fixture.respond();
    fixture.runtime.advance(seconds(3));
    fixture.send(1, 0);
    fixture.send(1, 1);
    fixture.runtime.advance(milliseconds(160));
    CHECK(fixture.suspicions > 0);
    fixture.trials.onSuspected();
    fixture.trials.onSuspected();
    REQUIRE(fixture.asked.size() == 5);
    SECTION("and is cut off if none responds")
    {
        fixture.runtime.advance(milliseconds(210));
        CHECK(fixture.reach.isCutOff());
    }
    SECTION("and is not if one responds")
    {
        fixture.asked.back().done(ReachOutcome::Response);
        const int before = fixture.suspicions;
        fixture.runtime.advance(seconds(3));
        CHECK_FALSE(fixture.reach.isCutOff());
        CHECK(fixture.suspicions == before);
    }
}

TEST_CASE("Servers that crash together do not make an instance count as cut off before other servers were asked", "[reach][trial][crash]")
{
    TrialFixture fixture;
    fixture.onSuspected = [&fixture] { return fixture.trials.onSuspected(); };
    fixture.respond();
    for (const auto attempt : fixture.sendToEach(8)) {
        fixture.reach.onEnded(attempt, ReachOutcome::NotConnected);
    }
    CHECK_FALSE(fixture.reach.isCutOff());
    REQUIRE(fixture.asked.size() == 5);
    for (std::size_t trial = 0; trial < 4; ++trial) {
        fixture.asked.at(trial).done(ReachOutcome::NotConnected);
        CHECK_FALSE(fixture.reach.isCutOff());
    }
    const bool responds = GENERATE(true, false);
    fixture.asked.at(4).done(responds ? ReachOutcome::Response : ReachOutcome::NotConnected);
    CHECK(fixture.reach.isCutOff() == !responds);
}

TEST_CASE("Failures of a few servers raise no suspicion while others respond", "[reach][trial]")
{
    ReachFixture fixture;
    for (int round = 0; round < 50; ++round) {
        fixture.respond();
        fixture.reach.onEnded(fixture.send(1, 0), ReachOutcome::NotConnected);
        fixture.reach.onEnded(fixture.send(1, 1), ReachOutcome::NotConnected);
        fixture.runtime.advance(milliseconds(100));
    }
    CHECK(fixture.suspicions == 0);
}
