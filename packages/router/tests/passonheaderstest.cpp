#include <burdock/router/clientendpoint.h>
#include <burdock/router/httpbackends.h>
#include <burdock/router/httppeers.h>
#include <burdock/router/passonheaders.h>

#include <catch2/catch.hpp>

#include "../../../tests/manualclient.h"
#include "../../routing/tests/routingfixture.h"
#include "recordedresponder.h"

#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const HeaderNames Names{"x-id", "x-left", "x-sign", "x-target", "x-notrun", "x-server", "X-Parts", "X-Missing", "x-limit", "x-leaving"};

bool hasOwnHeader(const std::map<std::string, std::string> &headers)
{
    return std::any_of(headers.begin(), headers.end(), [](const auto &header) { return header.first.rfind("burdock-", 0) == 0; });
}

/// Passes requests on over a client that the test answers, or serves those of another instance.
struct PeersFixture
{
    PeersFixture()
    {
        routing.addServer("p1", "parts");
        routing.setRoutes({RoutingFixture::route("parts")});
        endpoint.setConfigVersion(1);
    }

    /// Returns the HTTP request with which a client's request is passed on.
    HttpRequest passOn(const PassOnTerms &terms)
    {
        const auto request = std::make_shared<ClientRequest>();
        request->id = "7";
        request->method = "POST";
        request->target = "/parts/x?size=1";
        request->headers = {{"host", "shop.example"}, {"x-id", "7"}, {"x-left", "9000"}, {"x-other", "kept"}};
        request->body = "the body";
        peers.send({InstanceId("b"), Address{"10.0.0.2", 7740}}, request, terms, routing.runtime.now() + seconds(2), [this](Result<PeerReply> given) {
            reply = std::move(given);
        });
        return client.calls.begin()->second.first;
    }

    /// Serves the HTTP request as the other instance would.
    std::shared_ptr<RecordedResponder> serve(const HttpRequest &request)
    {
        HttpServerRequest incoming;
        incoming.method = request.method;
        incoming.target = request.path;
        incoming.headers = request.headers;
        incoming.body = request.body;
        const auto responder = std::make_shared<RecordedResponder>();
        endpoint.servePassedOn(std::move(incoming), responder);
        return responder;
    }

    /// Takes the response back over the wire, on which names are in lower case.
    void deliver(const RecordedResponder &responder)
    {
        HttpResponse response{responder.status, {}, responder.body};
        for (const auto &[given, value] : responder.headers) {
            std::string name = given;
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
            response.headers[name] = value;
        }
        client.answer(std::move(response));
    }

    static PassOnTerms terms()
    {
        PassOnTerms terms;
        terms.configVersion = 1;
        terms.attempts = 2;
        terms.clientAge = milliseconds(35);
        terms.counted = true;
        terms.service = ServiceName("parts");
        return terms;
    }

    RoutingFixture routing;
    ManualClient client;
    std::vector<std::string> newer;
    HttpPeers peers{routing.runtime, client, Names, InstanceId("a"), [this](const Peer &peer) { newer.push_back(peer.id.text()); }};
    DecisionLog log{routing.runtime, STDERR_FILENO, "test"};
    RouterMetrics metrics;
    ClientEndpoint endpoint{routing.runtime, routing.coordinator, log, metrics, Names};
    std::optional<Result<PeerReply>> reply;
};

} // namespace

TEST_CASE("A request that is passed on reaches the peer and its server as the client sent it", "[passing][headers]")
{
    PeersFixture fixture;
    const HttpRequest sent = fixture.passOn(PeersFixture::terms());
    CHECK(sent.method == "POST");
    CHECK(sent.path == "/parts/x?size=1");
    CHECK(sent.body == "the body");
    CHECK(sent.headers.at("x-left") == "2000");
    const auto terms = PassOnHeaders::read(sent.headers);
    REQUIRE(terms);
    PassOnTerms expected = PeersFixture::terms();
    expected.from = InstanceId("a");
    CHECK(*terms == expected);
    fixture.serve(sent);
    REQUIRE(fixture.routing.backends.open.size() == 1);
    const auto atServer = fixture.routing.backends.open.front();
    CHECK(atServer.request->id == "7");
    CHECK(atServer.request->headers.at("x-other") == "kept");
    CHECK(atServer.deadline == fixture.routing.runtime.now() + seconds(2));
    CHECK_FALSE(hasOwnHeader(atServer.request->headers));
}

TEST_CASE("A peer's answer reaches the client unchanged and without the headers of the instances", "[passing][headers]")
{
    PeersFixture fixture;
    const HttpRequest sent = fixture.passOn(PeersFixture::terms());
    const auto responder = fixture.serve(sent);
    SECTION("a server's response, also one that uses such headers")
    {
        ServerReply served = success("belt");
        served.headers = {{"x-sign", "sig-belt"}, {"x-other", "kept"}, {"burdock-unable", "instance"}, {"burdock-attempts", "9"}};
        fixture.routing.backends.answer(served);
        fixture.deliver(*responder);
        REQUIRE(*fixture.reply);
        const ClientAnswer &answer = (*fixture.reply)->answer;
        CHECK(answer.kind == ClientAnswer::Kind::Passed);
        CHECK(answer.body == "belt");
        CHECK(answer.signatures == std::vector<std::string>{"sig-belt"});
        CHECK(answer.headers.at("x-other") == "kept");
        CHECK(answer.attempts == 1);
        CHECK(answer.inability == ClientAnswer::Inability::None);
        CHECK_FALSE(hasOwnHeader(answer.headers));
        CHECK(answer.headers.count("keep-alive") == 0);
    }
    SECTION("a failure")
    {
        fixture.routing.backends.answer(lostAtServer());
        fixture.deliver(*responder);
        REQUIRE(*fixture.reply);
        CHECK((*fixture.reply)->answer.kind == ClientAnswer::Kind::Failed);
        CHECK((*fixture.reply)->answer.status == 502);
        CHECK((*fixture.reply)->answer.attempts == 1);
        CHECK((*fixture.reply)->answer.reason == "the connection closed");
    }
    SECTION("a refusal, with the time to come back")
    {
        fixture.routing.backends.answer(refusedByServer());
        fixture.deliver(*responder);
        REQUIRE(*fixture.reply);
        CHECK((*fixture.reply)->answer.kind == ClientAnswer::Kind::Refused);
        CHECK((*fixture.reply)->answer.attempts == 0);
        CHECK((*fixture.reply)->answer.retryAfter >= milliseconds(150));
        CHECK((*fixture.reply)->answer.inability == ClientAnswer::Inability::None);
    }
    CHECK((*fixture.reply)->configVersion == 1);
}

TEST_CASE("A gathered answer of a peer keeps its parts", "[passing][headers]")
{
    ClientAnswer given;
    given.kind = ClientAnswer::Kind::Gathered;
    HttpResponse response{200, {{"x-parts", "s1, s2"}, {"x-missing", "3"}}, "records"};
    PassOnHeaders::writeOutcome(response.headers, given, 9);
    const auto reply = PassOnHeaders::readReply(Names, response);
    REQUIRE(reply);
    CHECK(reply->answer.signatures == std::vector<std::string>{"s1", "s2"});
    CHECK(reply->answer.missing == 3);
    CHECK(reply->answer.body == "records");
    CHECK(reply->answer.headers.empty());
    CHECK(reply->configVersion == 9);
}

TEST_CASE("A client that sets the headers of the instances is not believed", "[passing][headers]")
{
    PeersFixture fixture;
    HttpServerRequest incoming;
    incoming.method = "GET";
    incoming.target = "/parts/x";
    incoming.headers = {{"host", "shop.example"}, {"x-id", "1"}};
    PassOnHeaders::write(incoming.headers, PeersFixture::terms());
    incoming.headers["burdock-config"] = "99";
    const auto responder = std::make_shared<RecordedResponder>();
    fixture.endpoint.serve(std::move(incoming), responder);
    REQUIRE(fixture.routing.backends.open.size() == 1);
    CHECK_FALSE(fixture.routing.backends.open.front().request->passedOn);
    CHECK_FALSE(hasOwnHeader(fixture.routing.backends.open.front().request->headers));
    fixture.routing.backends.answer(success("belt"));
    CHECK(responder->status == 200);
    CHECK_FALSE(hasOwnHeader(responder->headers));
}

TEST_CASE("A request that another instance passed on with headers that cannot be read is not run", "[passing][headers]")
{
    PeersFixture fixture;
    HttpRequest sent = fixture.passOn(PeersFixture::terms());
    SECTION("no attempts")
    {
        sent.headers["burdock-attempts"] = "0";
    }
    SECTION("a version that is no number")
    {
        sent.headers["burdock-config"] = "v1";
    }
    SECTION("a negative age")
    {
        sent.headers["burdock-client-age-us"] = "-1";
    }
    const auto responder = fixture.serve(sent);
    CHECK(fixture.routing.backends.all == 0);
    fixture.deliver(*responder);
    REQUIRE(*fixture.reply);
    CHECK((*fixture.reply)->answer.kind == ClientAnswer::Kind::Refused);
    CHECK((*fixture.reply)->answer.inability == ClientAnswer::Inability::Instance);
}

TEST_CASE("An answer of a program that does not know passed-on requests means that the request was not run", "[passing][headers]")
{
    for (const int status : {200, 404, 413, 431, 503}) {
        const auto reply = PassOnHeaders::readReply(Names, HttpResponse{status, {{"x-sign", "s"}}, "body"});
        REQUIRE_FALSE(reply);
        CHECK(reply.error().verdict == Verdict::NotRun);
    }
    const auto lost = PassOnHeaders::readReply(Names, mayHaveRun(Errc::ConnectionLost, "the connection closed"));
    REQUIRE_FALSE(lost);
    CHECK(lost.error().verdict == Verdict::MayHaveRun);
}

TEST_CASE("A request whose handling throws at a peer may have run, whichever build the peer runs", "[passing][headers][boundary]")
{
    const HttpServerResponse sent = PassOnHeaders::failureResponse();
    const auto reply = PassOnHeaders::readReply(Names, HttpResponse{sent.status, sent.headers, sent.body});
    REQUIRE(reply);
    CHECK(reply->answer.kind == ClientAnswer::Kind::Failed);
    CHECK(reply->answer.inability == ClientAnswer::Inability::None);
    CHECK_FALSE(reply->answer.reason.empty());
    const auto unmarked = PassOnHeaders::readReply(Names, HttpResponse{500, {}, {}});
    REQUIRE_FALSE(unmarked);
    CHECK(unmarked.error().verdict == Verdict::MayHaveRun);
    const auto unknown = PassOnHeaders::readReply(Names, HttpResponse{503, {{"burdock-outcome", "of a later build"}}, {}});
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error().verdict == Verdict::MayHaveRun);
}

TEST_CASE("An instance that stops refuses late requests of other instances, which ask the next one", "[passing][stop]")
{
    PeersFixture fixture;
    const HttpRequest sent = fixture.passOn(PeersFixture::terms());
    fixture.endpoint.refuseFrom(fixture.routing.runtime.now());
    const auto responder = fixture.serve(sent);
    CHECK(fixture.routing.backends.all == 0);
    fixture.deliver(*responder);
    REQUIRE(*fixture.reply);
    CHECK((*fixture.reply)->answer.kind == ClientAnswer::Kind::Refused);
    CHECK((*fixture.reply)->answer.inability == ClientAnswer::Inability::Instance);
}

TEST_CASE("The work on a request ends when the instance that passed it on closes its connection", "[passing]")
{
    PeersFixture fixture;
    const auto responder = fixture.serve(fixture.passOn(PeersFixture::terms()));
    REQUIRE(fixture.routing.backends.open.size() == 1);
    responder->onClientGone();
    CHECK(fixture.routing.backends.open.empty());
    CHECK(fixture.routing.backends.cancelled == std::vector<std::string>{"p1"});
}

TEST_CASE("A peer's response counts only if each header of the instances is there once", "[passing][late]")
{
    PeersFixture fixture;
    const auto isReply = fixture.passOn(PeersFixture::terms()).isReplyToRequest;
    HttpResponse response{200, {{"x-id", "7"}, {"x-sign", "s"}, {"burdock-outcome", "passed"}, {"burdock-attempts", "1"}}, ""};
    CHECK(isReply(response));
    for (const char *name : {"x-id", "x-sign", "burdock-outcome", "burdock-attempts", "burdock-config", "burdock-unable"}) {
        INFO(name);
        response.repeatedHeaders = {name};
        CHECK_FALSE(isReply(response));
    }
}
