#include <burdock/router/clientendpoint.h>
#include <burdock/router/httpbackends.h>
#include <burdock/router/httppeers.h>
#include <burdock/router/passonheaders.h>

#include <catch2/catch.hpp>

#include "../../../tests/manualclient.h"
#include "../../routing/tests/routingfixture.h"
#include "recordedresponder.h"

#include <unistd.h>

using namespace Burdock;
using std::chrono::seconds;

namespace
{

const HeaderNames Names{"x-id", "x-left", "x-sign", "x-target", "x-notrun", "x-server", "X-Parts", "X-Missing", "x-limit", "x-leaving", "x-key", "x-space"};
constexpr const char *Secret = "the-secret-key";

/// An endpoint whose requests need a key, and what it sends to servers and peers.
struct KeyedEndpoint
{
    KeyedEndpoint()
    {
        routing.addServer("p1", "parts");
        Route open = RoutingFixture::route("parts");
        open.prefix = "/parts/open/";
        open.open = true;
        RoutingConfig config;
        config.version = 3;
        config.routes = {RoutingFixture::route("parts"), open};
        config.needsKeys = true;
        Workspace yard;
        yard.name = "yard";
        yard.keys = {Secret};
        config.workspaces = {yard};
        routing.coordinator.setRoutes(std::make_shared<const RouteTable>(std::make_shared<const RoutingConfig>(std::move(config))));
    }

    std::shared_ptr<RecordedResponder> send(const std::string &target, const std::map<std::string, std::string> &headers, bool byPeer = false)
    {
        HttpServerRequest incoming;
        incoming.method = "GET";
        incoming.target = target;
        incoming.headers = headers;
        incoming.headers.insert({{"host", "shop.example"}, {"x-id", "1"}});
        const auto responder = std::make_shared<RecordedResponder>();
        byPeer ? endpoint.servePassedOn(std::move(incoming), responder) : endpoint.serve(std::move(incoming), responder);
        return responder;
    }

    /// Returns what the server gets of the only request in flight.
    HttpRequest sentToServer()
    {
        REQUIRE(routing.backends.open.size() == 1);
        const ManualBackends::Sent &sent = routing.backends.open.front();
        backends.send(sent.server, sent.request, sent.deadline, [](const Result<ServerReply> &) {});
        return client.calls.rbegin()->second.first;
    }

    /// Returns what a peer gets of the only request in flight.
    HttpRequest sentToPeer()
    {
        REQUIRE(routing.backends.open.size() == 1);
        const ManualBackends::Sent &sent = routing.backends.open.front();
        PassOnTerms terms;
        terms.configVersion = 3;
        terms.workspace = sent.request->workspace;
        terms.workspaceConfig = sent.request->workspaceConfig;
        peers.send({InstanceId("b"), Address{"10.0.0.2", 7740}}, sent.request, terms, sent.deadline, [](const Result<PeerReply> &) {});
        return client.calls.rbegin()->second.first;
    }

    static bool holds(const HttpRequest &request, const std::string &text)
    {
        return std::any_of(request.headers.begin(), request.headers.end(), [&text](const auto &header) {
            return header.first.find(text) != std::string::npos || header.second.find(text) != std::string::npos;
        });
    }

    RoutingFixture routing;
    ManualClient client;
    DecisionLog log{routing.runtime, STDERR_FILENO, "test"};
    RouterMetrics metrics;
    ClientEndpoint endpoint{routing.runtime, routing.coordinator, log, metrics, Names};
    HttpBackends backends{routing.runtime, client, Names, [](const ServerEntry &, const ServerHints &) {}, log};
    HttpPeers peers{routing.runtime, client, Names, InstanceId("a"), [](const Peer &) {}};
};

} // namespace

TEST_CASE("A server gets the workspace of the key, whatever the client states, and no key", "[workspaces][headers]")
{
    KeyedEndpoint fixture;
    fixture.send("/parts/x", {{"x-key", Secret}, {"x-space", "forged"}, {"burdock-workspace", "forged"}});
    const HttpRequest sent = fixture.sentToServer();
    CHECK(sent.headers.at("x-space") == "yard");
    CHECK_FALSE(KeyedEndpoint::holds(sent, Secret));
    CHECK_FALSE(KeyedEndpoint::holds(sent, "forged"));
}

TEST_CASE("On an open route servers get neither a key nor a workspace", "[workspaces][headers]")
{
    KeyedEndpoint fixture;
    fixture.send("/parts/open/x", {{"x-key", Secret}, {"x-space", "forged"}});
    const HttpRequest sent = fixture.sentToServer();
    CHECK(sent.headers.count("x-space") == 0);
    CHECK_FALSE(KeyedEndpoint::holds(sent, Secret));
}

TEST_CASE("A request without a key gets 401, which names no key and no time to come back", "[workspaces][headers]")
{
    KeyedEndpoint fixture;
    // A header that came twice is one value with both.
    for (const std::string &key : {std::string(), std::string("other"), std::string(Secret) + ", " + Secret}) {
        const auto refused = fixture.send("/parts/x", {{"x-key", key}, {"burdock-workspace", "yard"}, {"burdock-from", "b"}});
        CHECK(refused->status == 401);
        CHECK(refused->headers.count("Retry-After") == 0);
        CHECK((key.empty() || refused->body.find(key) == std::string::npos));
    }
    CHECK(fixture.routing.backends.all == 0);
}

TEST_CASE("A peer gets the workspace in both headers and believes its peers only", "[workspaces][headers][passing]")
{
    KeyedEndpoint first;
    first.send("/parts/x", {{"x-key", Secret}});
    const HttpRequest passed = first.sentToPeer();
    CHECK(passed.headers.at("burdock-workspace") == "yard");
    CHECK(passed.headers.at("burdock-workspace-config") == "3");
    // What a peer of an earlier build sends the servers.
    CHECK(passed.headers.at("x-space") == "yard");
    CHECK_FALSE(KeyedEndpoint::holds(passed, Secret));
    KeyedEndpoint second;
    second.send("/parts/x", passed.headers, true);
    const HttpRequest sent = second.sentToServer();
    CHECK(sent.headers.at("x-space") == "yard");
    CHECK_FALSE(KeyedEndpoint::holds(sent, "burdock-"));
    KeyedEndpoint third;
    CHECK(third.send("/parts/x", passed.headers)->status == 401);
}

TEST_CASE("The fingerprint by which requests are logged and reported does not depend on the key", "[workspaces]")
{
    KeyedEndpoint fixture;
    fixture.send("/parts/x", {{"x-key", Secret}});
    const auto &keyed = *fixture.routing.backends.open.front().request;
    fixture.send("/parts/open/x", {{"x-key", "other"}});
    ClientRequest open = *fixture.routing.backends.open.back().request;
    open.target = keyed.target;
    CHECK(keyed.key.empty());
    CHECK(open.key.empty());
    CHECK(RequestFingerprint::of(keyed) == RequestFingerprint::of(open));
}
