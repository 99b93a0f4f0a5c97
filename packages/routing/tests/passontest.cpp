#include <catch2/catch.hpp>

#include "routingfixture.h"

#include <map>
#include <set>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

Result<PeerReply> served(const std::string &body)
{
    PeerReply reply;
    reply.answer.kind = ClientAnswer::Kind::Passed;
    reply.answer.status = AnswerStatus::Ok;
    reply.answer.body = body;
    reply.answer.attempts = 1;
    return reply;
}

Result<PeerReply> refused(const std::string &reason = "the servers are full")
{
    PeerReply reply;
    reply.answer = refusal(AnswerStatus::Unavailable, reason, milliseconds(700));
    return reply;
}

Result<PeerReply> unable(std::uint32_t attempts = 0)
{
    PeerReply reply = *refused("this instance cannot reach a server either");
    if (attempts > 0) {
        reply.answer.kind = ClientAnswer::Kind::Failed;
        reply.answer.status = AnswerStatus::BadGateway;
    }
    reply.answer.inability = ClientAnswer::Inability::Instance;
    reply.answer.attempts = attempts;
    return reply;
}

Result<PeerReply> failed()
{
    PeerReply reply = *unable(1);
    reply.answer.inability = ClientAnswer::Inability::None;
    return reply;
}

Result<PeerReply> lostBeforeSending()
{
    return notRun(Errc::Unavailable, "cannot connect");
}

Result<PeerReply> lostAfterSending()
{
    return mayHaveRun(Errc::ConnectionLost, "the connection closed");
}

struct PassOnFixture : RoutingFixture
{
    explicit PassOnFixture(int helperCount = 3, std::uint32_t attempts = 2, bool repeatable = true)
    {
        addServer("p1", "parts");
        addServer("p2", "parts");
        addServer("p3", "parts");
        for (int number = 1; number <= helperCount; ++number) {
            addHelper("h" + std::to_string(number));
        }
        Route made = route("parts");
        made.attempts = attempts;
        made.repeatable = repeatable;
        setRoutes({made});
    }

    /// Lets servers be silent so that the instance is found to be cut off after the given time.
    void silenceServers(Duration cutOffAfter = milliseconds(1))
    {
        for (const ServerEntry &server : unreachable()) {
            reach.onSent(server, Duration{0});
        }
        runtime.advance(milliseconds(150) - cutOffAfter);
    }

    /// Lets the instance be cut off now; with requests in flight, `silenceServers` must have been called.
    void cutOff()
    {
        failConnections();
        runtime.advance(milliseconds(1));
        REQUIRE(reach.isCutOff());
    }

    /// Lets a server that no request needs respond.
    void respond()
    {
        reach.onEnded(0, ReachOutcome::Response);
        runtime.advance(Duration{0});
    }

    /// Lets connections be refused while other servers respond.
    void impair()
    {
        failConnections();
        respond();
        REQUIRE(reach.isImpaired(runtime.now()));
        REQUIRE_FALSE(reach.isCutOff());
    }

    void failConnections()
    {
        for (const ServerEntry &server : unreachable()) {
            reach.onEnded(reach.onSent(server, Duration{0}), ReachOutcome::NotConnected);
        }
    }

    static std::vector<ServerEntry> unreachable()
    {
        std::vector<ServerEntry> found;
        for (const char *name : {"u1", "u2", "u3", "u4", "u5"}) {
            ServerEntry server;
            server.id = ServerId(name);
            server.service = ServiceName(name);
            found.push_back(server);
        }
        return found;
    }

    PassOnTerms fromOther(std::int64_t configVersion = 1)
    {
        PassOnTerms terms;
        terms.from = InstanceId("other");
        terms.configVersion = configVersion;
        terms.attempts = 2;
        return terms;
    }

    std::vector<std::string> peersAsked() const
    {
        std::vector<std::string> ids;
        for (const auto &sent : peers.open) {
            ids.push_back(sent.peer.id.text());
        }
        return ids;
    }
};

} // namespace

TEST_CASE("A request at an instance that reaches no server does not wait there, but is served by another instance", "[passing]")
{
    PassOnFixture fixture;
    fixture.cutOff();
    fixture.sendRequest("parts");
    CHECK(fixture.backends.all == 0);
    REQUIRE(fixture.peers.open.size() == 1);
    CHECK(fixture.peers.open.front().terms.attempts == 2);
    CHECK(fixture.peers.open.front().terms.counted == false);
    CHECK(fixture.peers.open.front().deadline == fixture.runtime.now() + seconds(2));
    fixture.peers.answer(served("belt"));
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->kind == ClientAnswer::Kind::Passed);
    CHECK(fixture.answer->body == "belt");
    CHECK(fixture.coordinator.pendingRequests() == 0);
}

TEST_CASE("A request that was passed on is never passed on twice", "[passing]")
{
    PassOnFixture fixture;
    SECTION("it is refused by an instance that reaches no server either")
    {
        fixture.cutOff();
        fixture.sendRequest("parts", {}, "x", fixture.fromOther());
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
        CHECK(fixture.answer->inability == ClientAnswer::Inability::Instance);
    }
    SECTION("it is ended by an instance that loses its servers while it is in progress")
    {
        fixture.silenceServers();
        fixture.sendRequest("parts", {}, "x", fixture.fromOther());
        fixture.cutOff();
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Failed);
        CHECK(fixture.answer->inability == ClientAnswer::Inability::Instance);
        // The attempt was sent since the last response of any server.
        CHECK(fixture.answer->attempts == 0);
    }
    SECTION("it is ended by an instance at which its attempts failed")
    {
        fixture.impair();
        fixture.sendRequest("parts", {}, "x", fixture.fromOther());
        fixture.backends.answer(lostAtServer());
        fixture.backends.answer(lostAtServer());
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->inability == ClientAnswer::Inability::None);
        CHECK(fixture.answer->attempts == 2);
    }
    CHECK(fixture.peers.all == 0);
}

TEST_CASE("Requests in progress do not wait for their deadline when an instance loses its servers", "[passing]")
{
    PassOnFixture fixture;
    fixture.silenceServers();
    fixture.sendRequest("parts");
    fixture.cutOff();
    REQUIRE(fixture.peers.open.size() == 1);
    CHECK(fixture.peers.open.front().terms.attempts == 2);
    CHECK(fixture.peers.open.front().terms.counted);
    SECTION("the peer's answer is taken, and the attempt here is cancelled")
    {
        fixture.peers.answer(served("belt"));
        CHECK(fixture.answer->body == "belt");
        fixture.runtime.advance(milliseconds(1));
        CHECK(fixture.backends.open.empty());
        CHECK(fixture.backends.cancelled.size() == 1);
    }
    SECTION("the answer of the attempt here is taken if it comes first, and the peer's is cancelled")
    {
        fixture.backends.answer(success("clasp"));
        CHECK(fixture.answer->body == "clasp");
        CHECK(fixture.peers.cancelled.size() == 1);
    }
    SECTION("no more attempts are sent here beside the peer's")
    {
        fixture.backends.answer(lostAtServer());
        fixture.runtime.advance(milliseconds(500));
        CHECK(fixture.backends.all == 1);
        CHECK_FALSE(fixture.answer);
    }
    SECTION("it fails at once if no peer can help")
    {
        fixture.peers.answer(unable());
        fixture.peers.answer(unable());
        fixture.peers.answer(unable());
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Failed);
        CHECK(fixture.answer->status == AnswerStatus::BadGateway);
    }
    SECTION("the attempt here goes on if the servers are reached again before a peer fails")
    {
        fixture.respond();
        fixture.peers.answer(refused());
        CHECK_FALSE(fixture.answer);
        fixture.backends.answer(success("clasp"));
        CHECK(fixture.answer->body == "clasp");
    }
}

TEST_CASE("A request is sent to no more servers than its route allows over both hops", "[passing][budget]")
{
    PassOnFixture fixture(3, 3);
    fixture.sendRequest("parts");
    // A server has answered something since, so the attempt may have arrived.
    fixture.runtime.advance(milliseconds(5));
    fixture.respond();
    SECTION("the attempts here are taken off")
    {
        fixture.cutOff();
        REQUIRE(fixture.peers.open.size() == 1);
        CHECK(fixture.peers.open.front().terms.attempts == 2);
    }
    SECTION("a request whose attempts are used up is not passed on")
    {
        fixture.backends.answer(lostAtServer());
        fixture.backends.answer(lostAtServer());
        REQUIRE(fixture.backends.all == 3);
        fixture.respond();
        fixture.cutOff();
        CHECK(fixture.peers.all == 0);
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->status == AnswerStatus::BadGateway);
    }
    SECTION("the peer keeps to the attempts that are left")
    {
        PassOnTerms terms = fixture.fromOther();
        terms.attempts = 1;
        fixture.backends.answer(success("belt"));
        fixture.sendRequest("parts", {}, "x", terms);
        fixture.backends.answer(lostAtServer());
        fixture.runtime.advance(seconds(1));
        CHECK(fixture.backends.all == 2);
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Failed);
    }
    SECTION("the attempts of a peer that loses its servers are taken off as well")
    {
        fixture.cutOff();
        fixture.peers.answer(unable(1));
        REQUIRE(fixture.peers.open.size() == 1);
        CHECK(fixture.peers.open.front().terms.attempts == 1);
        fixture.peers.answer(unable(1));
        CHECK(fixture.peers.open.empty());
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Failed);
    }
}

TEST_CASE("A request that is not repeatable runs at most once over both hops", "[passing][once]")
{
    PassOnFixture fixture(3, 3, false);
    SECTION("one that may have run here is not passed on, and is still answered if its answer comes")
    {
        fixture.silenceServers();
        fixture.sendRequest("parts");
        fixture.cutOff();
        CHECK(fixture.peers.all == 0);
        CHECK_FALSE(fixture.answer);
        fixture.backends.answer(success("invoice"));
        CHECK(fixture.answer->body == "invoice");
    }
    SECTION("one whose only attempt broke off here is not passed on")
    {
        fixture.silenceServers();
        fixture.sendRequest("parts");
        fixture.cutOff();
        fixture.backends.answer(lostAtServer());
        CHECK(fixture.peers.all == 0);
        CHECK(fixture.answer->status == AnswerStatus::BadGateway);
    }
    SECTION("one that no server ran is passed on after its attempts here have failed")
    {
        fixture.sendRequest("parts");
        fixture.impair();
        for (int number = 0; number < 3; ++number) {
            fixture.backends.answer(refusedByServer());
        }
        REQUIRE(fixture.peers.open.size() == 1);
        fixture.peers.answer(served("invoice"));
        CHECK(fixture.answer->body == "invoice");
        CHECK(fixture.backends.open.empty());
    }
    SECTION("one that a peer refused goes to the next, one that a peer may have run does not")
    {
        fixture.cutOff();
        fixture.sendRequest("parts");
        fixture.peers.answer(unable());
        REQUIRE(fixture.peers.open.size() == 1);
        fixture.peers.answer(unable(1));
        CHECK(fixture.peers.open.empty());
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Failed);
        CHECK(fixture.answer->status == AnswerStatus::BadGateway);
    }
    SECTION("one that did not reach a peer goes to the next, one whose connection broke after it was sent does not")
    {
        fixture.cutOff();
        fixture.sendRequest("parts");
        fixture.peers.answer(lostBeforeSending());
        REQUIRE(fixture.peers.open.size() == 1);
        fixture.peers.answer(lostAfterSending());
        CHECK(fixture.peers.open.empty());
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Failed);
        CHECK(fixture.answer->status == AnswerStatus::BadGateway);
    }
    SECTION("one that was passed on is not sent here when the servers are reached again")
    {
        fixture.cutOff();
        fixture.sendRequest("parts");
        fixture.respond();
        fixture.peers.answer(lostAfterSending());
        CHECK(fixture.backends.all == 0);
        CHECK(fixture.answer->status == AnswerStatus::BadGateway);
    }
}

TEST_CASE("A client that leaves ends the work on its request at the peer", "[passing]")
{
    PassOnFixture fixture;
    fixture.cutOff();
    const auto id = fixture.sendRequest("parts");
    fixture.coordinator.onClientDisconnected(id);
    CHECK(fixture.peers.open.empty());
    CHECK(fixture.peers.cancelled.size() == 1);
    CHECK_FALSE(fixture.answer);
}

TEST_CASE("A request that is passed on keeps its deadline", "[passing]")
{
    PassOnFixture fixture;
    fixture.silenceServers(milliseconds(20));
    fixture.sendRequest("parts", milliseconds(900));
    const TimePoint deadline = fixture.runtime.now() + milliseconds(900);
    fixture.runtime.advance(milliseconds(20));
    REQUIRE(fixture.peers.open.size() == 1);
    CHECK(fixture.peers.open.front().deadline == deadline);
    CHECK(fixture.peers.open.front().terms.clientAge == milliseconds(20));
    SECTION("it is not passed on with no time left")
    {
        fixture.runtime.advance(milliseconds(875));
        fixture.peers.answer(lostBeforeSending());
        CHECK(fixture.peers.open.empty());
        CHECK(fixture.answer->status == AnswerStatus::GatewayTimeout);
    }
    SECTION("it fails at the deadline")
    {
        fixture.peers.answer(mayHaveRun(Errc::DeadlineExceeded, "no answer within the timeout"));
        CHECK(fixture.peers.open.empty());
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Failed);
    }
}

TEST_CASE("A request is counted once in the repeat budgets of both instances", "[passing][budget]")
{
    PassOnFixture fixture;
    const auto tokensAfter = [&fixture](std::optional<PassOnTerms> terms) {
        // Uses the whole budget, so that only what the request adds is left.
        const ServiceName service("parts");
        while (fixture.budget.tryAcquire(service, fixture.runtime.now(), 0)) { }
        for (int number = 0; number < 10; ++number) {
            fixture.sendRequest("parts", {}, "x", terms);
            fixture.backends.answer(success("belt"));
        }
        int tokens = 0;
        while (fixture.budget.tryAcquire(service, fixture.runtime.now(), 0)) {
            ++tokens;
        }
        return tokens;
    };
    CHECK(tokensAfter(std::nullopt) > 0);
    PassOnTerms terms = fixture.fromOther();
    CHECK(tokensAfter(terms) > 0);
    terms.counted = true;
    CHECK(tokensAfter(terms) == 0);
}

TEST_CASE("A request that may have arrived at servers is passed on only within the repeat budget", "[passing][budget]")
{
    PassOnFixture fixture;
    fixture.sendRequest("parts");
    fixture.runtime.advance(milliseconds(5));
    fixture.respond();
    const ServiceName service("parts");
    while (fixture.budget.tryAcquire(service, fixture.runtime.now(), 0)) { }
    fixture.cutOff();
    CHECK(fixture.peers.all == 0);
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->kind == ClientAnswer::Kind::Failed);
    CHECK(fixture.counters.repeatsDenied == 1);
    SECTION("the first attempt of a request at a peer is no repeat")
    {
        fixture.sendRequest("parts");
        CHECK(fixture.peers.open.size() == 1);
    }
    SECTION("a second peer is asked within the budget if the first may have sent the request to servers")
    {
        fixture.sendRequest("parts");
        fixture.peers.answer(unable(1));
        CHECK(fixture.peers.open.empty());
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Failed);
    }
    SECTION("a second peer is asked without a repeat if the attempts of the first did not arrive")
    {
        fixture.sendRequest("parts");
        PeerReply reply = *unable(1);
        reply.answer.attempts = 0;
        fixture.peers.answer(reply);
        CHECK(fixture.peers.open.size() == 1);
    }
}

TEST_CASE("Hedges into a dead link do not use up the repeats that passing on needs", "[passing][budget]")
{
    PassOnFixture fixture;
    const ServiceName service("parts");
    const auto useUp = [&] {
        while (fixture.budget.tryAcquire(service, fixture.runtime.now(), 0)) { }
    };
    SECTION("all attempts were sent since the last response of any server")
    {
        fixture.silenceServers(milliseconds(60));
        fixture.sendRequest("parts");
    }
    SECTION("the first attempt had been sent before, and was hedged since")
    {
        fixture.sendRequest("parts");
        fixture.respond();
        fixture.silenceServers(milliseconds(1));
        REQUIRE(fixture.backends.all == 2);
    }
    useUp();
    fixture.runtime.advance(milliseconds(60));
    REQUIRE(fixture.reach.isCutOff());
    CHECK(fixture.peers.open.size() == 1);
    CHECK_FALSE(fixture.answer);
}

TEST_CASE("A peer that cannot help or is lost is followed by the next, and left out by other requests for a while", "[passing]")
{
    PassOnFixture fixture(2);
    fixture.cutOff();
    fixture.sendRequest("parts");
    const std::string first = fixture.peersAsked().front();
    SECTION("it refuses")
    {
        fixture.peers.answer(unable());
    }
    SECTION("it cannot be connected to")
    {
        fixture.peers.answer(lostBeforeSending());
    }
    REQUIRE(fixture.peers.open.size() == 1);
    CHECK(fixture.peersAsked().front() != first);
    fixture.peers.answer(served("belt"));
    CHECK(fixture.answer->body == "belt");
    for (int number = 0; number < 10; ++number) {
        fixture.sendRequest("parts");
        CHECK(fixture.peersAsked().front() != first);
        fixture.peers.answer(served("belt"));
    }
    fixture.runtime.advance(milliseconds(2100));
    std::size_t asked = 0;
    for (int number = 0; number < 20; ++number) {
        fixture.sendRequest("parts");
        asked += fixture.peersAsked().front() == first ? 1 : 0;
        fixture.peers.answer(served("belt"));
    }
    CHECK(asked > 0);
}

TEST_CASE("Requests are still passed on while the only peers that reach the servers are restarted", "[passing]")
{
    PassOnFixture fixture(1);
    fixture.cutOff();
    SECTION("a peer that was lost is asked again, since there is no other")
    {
        fixture.sendRequest("parts");
        fixture.peers.answer(lostBeforeSending());
        REQUIRE(fixture.answer);
    }
    SECTION("a peer that stops is asked for a while after its record is gone")
    {
        fixture.sendRequest("parts");
        fixture.peers.answer(served("belt"));
        fixture.removeHelpers();
        fixture.runtime.advance(seconds(1));
    }
    SECTION("also if it was not asked before")
    {
        fixture.runtime.advance(seconds(60));
        fixture.removeHelpers();
        fixture.runtime.advance(seconds(1));
    }
    fixture.sendRequest("parts");
    REQUIRE(fixture.peersAsked() == std::vector<std::string>{"h1"});
    fixture.peers.answer(served("belt"));
    CHECK(fixture.answer->body == "belt");
    fixture.removeHelpers();
    fixture.runtime.advance(seconds(4));
    fixture.sendRequest("parts");
    CHECK(fixture.peers.open.empty());
    CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
}

TEST_CASE("Peers of another region that stop are asked if the instances of the own region are lost", "[passing]")
{
    PassOnFixture fixture(1);
    fixture.addHelper("far", 1);
    fixture.cutOff();
    fixture.sendRequest("parts");
    REQUIRE(fixture.peersAsked() == std::vector<std::string>{"h1"});
    fixture.removeHelpers();
    fixture.runtime.advance(seconds(1));
    fixture.peers.answer(lostBeforeSending());
    CHECK(fixture.peersAsked() == std::vector<std::string>{"far"});
}

TEST_CASE("A peer that says that it is cut off too is not asked as one that stops", "[passing]")
{
    PassOnFixture fixture(2);
    fixture.helpersKeepRecords = true;
    fixture.othersReady = true;
    fixture.cutOff();
    fixture.removeHelpers();
    fixture.sendRequest("parts");
    CHECK(fixture.peers.open.empty());
    CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
}

TEST_CASE("A killed peer does not cost a repeatable request that has attempts left", "[passing]")
{
    PassOnFixture fixture(3, 3);
    fixture.cutOff();
    fixture.sendRequest("parts");
    REQUIRE(fixture.peers.open.front().terms.attempts == 2);
    fixture.peers.answer(lostAfterSending());
    REQUIRE(fixture.peers.open.size() == 1);
    CHECK(fixture.peers.open.front().terms.attempts == 1);
    CHECK(fixture.peers.open.front().terms.counted);
    fixture.peers.answer(served("belt"));
    CHECK(fixture.answer->body == "belt");
}

TEST_CASE("A suspended peer gets no more requests while others answer", "[passing]")
{
    PassOnFixture fixture(2);
    fixture.cutOff();
    fixture.sendRequest("parts");
    const std::string silent = fixture.peersAsked().front();
    fixture.runtime.advance(milliseconds(301));
    for (int number = 0; number < 10; ++number) {
        fixture.sendRequest("parts", {}, "y" + std::to_string(number));
        CHECK(fixture.peersAsked().back() != silent);
        const auto sent = fixture.peers.open.back();
        fixture.peers.open.pop_back();
        sent.done(served("belt"));
    }
}

TEST_CASE("A request is refused at once, and truly was not run, if no instance can serve it", "[passing]")
{
    PassOnFixture fixture(0);
    fixture.cutOff();
    SECTION("there is no other instance")
    {
        fixture.sendRequest("parts");
    }
    SECTION("the others cannot reach the servers either")
    {
        for (int number = 1; number <= 5; ++number) {
            fixture.addHelper("h" + std::to_string(number));
        }
        fixture.sendRequest("parts");
        for (int number = 0; number < 3; ++number) {
            REQUIRE(fixture.peers.open.size() == 1);
            fixture.peers.answer(unable());
        }
        CHECK(fixture.peers.open.empty());
    }
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
    CHECK(fixture.answer->status == AnswerStatus::Unavailable);
    CHECK(fixture.answer->retryAfter > Duration{0});
    CHECK(fixture.backends.all == 0);
}

TEST_CASE("A request in progress is not given up for slow servers where there is no other instance", "[passing]")
{
    PassOnFixture fixture(0);
    fixture.silenceServers();
    fixture.sendRequest("parts");
    fixture.cutOff();
    CHECK_FALSE(fixture.answer);
    fixture.backends.answer(success("belt"));
    CHECK(fixture.answer->body == "belt");
}

TEST_CASE("A request in progress does not wait for its deadline when the servers are down for all instances", "[passing]")
{
    PassOnFixture fixture(0);
    fixture.othersReady = true;
    fixture.silenceServers();
    fixture.sendRequest("parts");
    fixture.cutOff();
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->kind == ClientAnswer::Kind::Failed);
}

TEST_CASE("A peer that could have served a request gives its final answer", "[passing]")
{
    PassOnFixture fixture;
    fixture.cutOff();
    fixture.sendRequest("parts");
    SECTION("a refusal")
    {
        fixture.peers.answer(refused());
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
        CHECK(fixture.answer->retryAfter == milliseconds(700));
    }
    SECTION("a failure")
    {
        fixture.peers.answer(failed());
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Failed);
    }
    CHECK(fixture.peers.all == 1);
}

TEST_CASE("Routes never go back to an older version on the way over a peer", "[passing][config]")
{
    PassOnFixture fixture;
    SECTION("an instance refuses requests of one that knows a newer configuration")
    {
        fixture.sendRequest("parts", {}, "x", fixture.fromOther(2));
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
        CHECK(fixture.answer->inability == ClientAnswer::Inability::Configuration);
        CHECK(fixture.backends.all == 0);
    }
    SECTION("instances that are late with a configuration are asked again soon")
    {
        fixture.cutOff();
        PeerReply late = *refused();
        late.answer.inability = ClientAnswer::Inability::Configuration;
        for (int number = 0; number < 2; ++number) {
            fixture.sendRequest("parts");
            for (int peer = 0; peer < 3; ++peer) {
                REQUIRE(fixture.peers.open.size() == 1);
                fixture.peers.answer(late);
            }
            fixture.runtime.advance(milliseconds(100));
        }
        fixture.sendRequest("parts");
        REQUIRE(fixture.peers.open.size() == 1);
        fixture.peers.answer(served("belt"));
        CHECK(fixture.answer->body == "belt");
    }
    SECTION("an instance that hears of a newer configuration fetches it, and asks for nothing older any more")
    {
        fixture.cutOff();
        fixture.sendRequest("parts");
        CHECK(fixture.peers.open.front().terms.configVersion == 1);
        const std::string peer = fixture.peersAsked().front();
        PeerReply reply = *served("belt");
        reply.configVersion = 5;
        fixture.peers.answer(reply);
        CHECK(fixture.answer->body == "belt");
        CHECK(fixture.peers.fetchedFrom == std::vector<std::string>{peer});
        fixture.sendRequest("parts");
        CHECK(fixture.peers.open.front().terms.configVersion == 5);
    }
}

TEST_CASE("A peer that had no room for a request is followed by others, and used again if there are none", "[passing]")
{
    PassOnFixture fixture(1);
    fixture.addHelper("far", 1);
    fixture.impair();
    const auto fail = [&fixture] {
        fixture.sendRequest("parts");
        while (!fixture.backends.open.empty()) {
            fixture.backends.answer(refusedByServer());
        }
    };
    PeerReply impaired = *refused();
    impaired.answer.inability = ClientAnswer::Inability::Request;
    fail();
    REQUIRE(fixture.peersAsked() == std::vector<std::string>{"h1"});
    fixture.peers.answer(impaired);
    REQUIRE(fixture.peersAsked() == std::vector<std::string>{"far"});
    fixture.peers.answer(served("belt"));
    CHECK(fixture.answer->body == "belt");
    fail();
    CHECK(fixture.peersAsked() == std::vector<std::string>{"far"});
    fixture.peers.answer(unable());
    CHECK(fixture.peersAsked() == std::vector<std::string>{"h1"});
    fixture.peers.answer(served("belt"));
    CHECK(fixture.answer->body == "belt");
}

TEST_CASE("A request that several peers have no room for is counted in the budget of one of them only", "[passing][budget]")
{
    PassOnFixture fixture;
    fixture.cutOff();
    fixture.sendRequest("parts");
    CHECK_FALSE(fixture.peers.open.front().terms.counted);
    PeerReply full = *refused();
    full.answer.inability = ClientAnswer::Inability::Request;
    fixture.peers.answer(full);
    REQUIRE(fixture.peers.open.size() == 1);
    CHECK(fixture.peers.open.front().terms.counted);
}

TEST_CASE("A request that cannot be sent to any instance does not keep others from their peers", "[passing]")
{
    PassOnFixture fixture;
    fixture.cutOff();
    fixture.sendRequest("parts");
    fixture.peers.answer(notRun(Errc::BadRequest, "the path is not one that HTTP allows"));
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
    CHECK(fixture.peers.all == 1);
    for (int number = 0; number < 3; ++number) {
        fixture.sendRequest("parts");
    }
    CHECK(fixture.peers.open.size() == 3);
}

TEST_CASE("An instance says of what arrived at no server that another may serve it", "[passing]")
{
    PassOnFixture fixture;
    fixture.addServer("p4", "parts");
    SECTION("no server has room for this instance")
    {
        Route other = RoutingFixture::route("other");
        fixture.setRoutes({other});
        fixture.sendRequest("other", {}, "x", fixture.fromOther());
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->inability == ClientAnswer::Inability::Request);
    }
    SECTION("no server could be connected to")
    {
        fixture.sendRequest("parts", {}, "x", fixture.fromOther());
        fixture.backends.answer(notConnected());
        fixture.backends.answer(notConnected());
        REQUIRE(fixture.backends.open.size() == 1);
        fixture.respond();
        fixture.backends.answer(notConnected());
        fixture.backends.answer(notConnected());
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->inability == ClientAnswer::Inability::Request);
    }
    SECTION("a request that servers turned away has arrived there")
    {
        fixture.sendRequest("parts", {}, "x", fixture.fromOther());
        while (!fixture.backends.open.empty()) {
            fixture.backends.answer(refusedByServer());
        }
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->inability == ClientAnswer::Inability::None);
    }
    CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
    CHECK(fixture.peers.all == 0);
}

TEST_CASE("Requests are not sent from instance to instance while the servers are down for all", "[passing]")
{
    PassOnFixture fixture;
    const auto fail = [&fixture] {
        fixture.impair();
        fixture.sendRequest("parts");
        while (!fixture.backends.open.empty()) {
            fixture.backends.answer(refusedByServer());
        }
        fixture.runtime.advance(milliseconds(400));
    };
    fail();
    REQUIRE(fixture.peers.all == 1);
    fixture.peers.answer(refused());
    CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
    fail();
    CHECK(fixture.peers.all == 1);
    CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
    fixture.runtime.advance(seconds(1));
    fail();
    CHECK(fixture.peers.all == 2);
}

TEST_CASE("A failed request is not passed on from an instance that reaches its servers", "[passing]")
{
    PassOnFixture fixture;
    fixture.sendRequest("parts");
    fixture.backends.answer(lostAtServer());
    fixture.backends.answer(lostAtServer());
    CHECK(fixture.peers.all == 0);
    CHECK(fixture.answer->kind == ClientAnswer::Kind::Failed);
}

TEST_CASE("A request to all shards is passed on as a whole, and the part chosen of a split stays", "[passing]")
{
    PassOnFixture fixture;
    SECTION("shards")
    {
        fixture.silenceServers();
        fixture.setRoutes({fixture.shardRoute({"a", "b"}, 1)});
        fixture.sendRequest("all");
        CHECK(fixture.backends.all == 2);
        fixture.cutOff();
        REQUIRE(fixture.peers.open.size() == 1);
        PeerReply reply = *served("merged");
        reply.answer.kind = ClientAnswer::Kind::Gathered;
        fixture.peers.answer(reply);
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Gathered);
        CHECK(fixture.answer->body == "merged");
    }
    SECTION("a split")
    {
        fixture.addServer("a1", "a");
        Route split = RoutingFixture::route("parts");
        split.services = {{ServiceName("a"), 3}, {ServiceName("parts"), 1}};
        fixture.setRoutes({split});
        PassOnTerms terms = fixture.fromOther();
        terms.service = ServiceName("parts");
        for (int number = 0; number < 4; ++number) {
            fixture.sendRequest("parts", {}, "x", terms);
            CHECK(fixture.backends.open.back().server->service == ServiceName("parts"));
            fixture.backends.answer(success("belt"));
        }
        fixture.silenceServers();
        fixture.sendRequest("parts");
        const ServiceName chosen = fixture.backends.open.back().server->service;
        fixture.cutOff();
        REQUIRE(fixture.peers.open.size() == 1);
        CHECK(fixture.peers.open.front().terms.service == chosen);
    }
}

TEST_CASE("Peers of the own region are asked first", "[passing][choice]")
{
    PassOnFixture fixture(0);
    fixture.addHelper("far", 1);
    fixture.addHelper("near");
    fixture.cutOff();
    for (int number = 0; number < 10; ++number) {
        fixture.sendRequest("parts");
        CHECK(fixture.peersAsked().front() == "near");
        fixture.peers.answer(served("belt"));
    }
    fixture.sendRequest("parts");
    fixture.peers.answer(unable());
    CHECK(fixture.peersAsked().front() == "far");
}

TEST_CASE("Many instances that pass on requests use a few peers each, and all peers together", "[passing][choice]")
{
    std::vector<InstanceRecord> records;
    for (int number = 0; number < 100; ++number) {
        InstanceRecord record;
        record.id = InstanceId("h" + std::to_string(number));
        records.push_back(record);
    }
    std::vector<InstanceTable::Records> helpers(1);
    for (const InstanceRecord &record : records) {
        helpers.front().push_back(&record);
    }
    std::map<std::string, std::set<std::string>> usersOf;
    for (int user = 0; user < 100; ++user) {
        PeerChoice choice(
            [&helpers] { return helpers; }, [] { return true; }, [](const InstanceId &) { return true; }, InstanceId("u" + std::to_string(user)), 1);
        std::set<std::string> used;
        for (int number = 0; number < 200; ++number) {
            const auto peer = choice.choose(Route(), {}, TimePoint{});
            REQUIRE(peer);
            used.insert(peer->id.text());
            usersOf[peer->id.text()].insert(std::to_string(user));
        }
        CHECK(used.size() <= 8);
    }
    CHECK(usersOf.size() > 90);
    for (const auto &[peer, users] : usersOf) {
        CHECK(users.size() < 30);
    }
}
