#include <burdock/router/httpbackends.h>
#include <burdock/router/httppeers.h>
#include <burdock/routing/requestcoordinator.h>
#include <burdock/wire/factories.h>

#include <catch2/catch.hpp>

#include "../../wire/tests/rawsocket.h"
#include <algorithm>
#include <unistd.h>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

constexpr Duration TestTimeout = 5s;
constexpr Duration BetweenPieces = 200us;
const HeaderNames Names{"x-id", "x-left", "x-sign", "x-target", "x-notrun", "x-server", "X-Parts", "X-Missing", "x-limit", "x-leaving"};

/// What follows the version in a status line whose status is none of a final response.
const std::vector<std::string> InvalidStatuses{
    "000 Trouble", "099 Trouble", "600 Trouble", "1000 Trouble", "+20 OK", "2x0 OK", " OK", "", "101 Switching Protocols"};

std::string response(const std::string &status, const std::string &signature)
{
    // The record is one that a gathered answer merges, and the last header is how an instance says that it passes an answer on.
    return "HTTP/1.1 " + status + "\r\nX-Id: 1\r\nX-Sign: " + signature
        + "\r\nContent-Length: 16\r\nburdock-config: 1\r\nburdock-attempts: 1\r\nburdock-outcome: passed\r\n\r\n0123456789abcdef";
}

class SilentJournal final : public RoutingJournal
{
public:
    void note(const RoutingEvent &) override
    {
    }

    void notePassedOn(const PassOnEvent &) override
    {
    }
};

/// An instance's routing of requests over real sockets to servers whose response bytes the test controls.
class Instance
{
public:
    /// Adds a server that answers each request with the bytes, in two pieces if `firstPiece` is shorter; without bytes it is silent.
    RawServer &addServer(const std::string &service, const std::string &bytes, std::size_t firstPiece = std::string::npos)
    {
        servers_.push_back(std::make_unique<RawServer>(loop_, [this, bytes, firstPiece](RawSocket &socket) {
            if (bytes.empty() || socket.received.find("\r\n\r\n") == std::string::npos) {
                return;
            }
            socket.received.clear();
            socket.send(bytes.substr(0, firstPiece));
            if (firstPiece < bytes.size()) {
                loop_.schedule(BetweenPieces, [&socket, rest = bytes.substr(firstPiece)] { socket.send(rest); });
            }
        }));
        const ServerId id(service + std::to_string(servers_.size()));
        table_.put({id, ServiceName(service), servers_.back()->address(), DataCentre("a"), false, 4, Duration{0}, 1});
        return *servers_.back();
    }

    /// Adds an instance that answers each request with the bytes, and cuts this instance off from all servers.
    void cutOffBeside(const std::string &bytes, std::size_t firstPiece)
    {
        InstanceRecord record;
        record.id = InstanceId("helper");
        record.peers = addServer("instances", bytes, firstPiece).address();
        helpers_ = {record};
        peerChoice_.onHelpersChanged(loop_.now());
        for (const char *name : {"u1", "u2", "u3", "u4", "u5"}) {
            ServerEntry server;
            server.id = ServerId(name);
            server.service = ServiceName(name);
            reach_.onEnded(reach_.onSent(server, Duration{0}), ReachOutcome::NotConnected);
        }
        REQUIRE(loop_.runUntil([this] { return reach_.isCutOff(); }, TestTimeout));
    }

    ClientAnswer ask(const Route &route)
    {
        RoutingConfig config;
        config.version = 1;
        config.routes = {route};
        coordinator_.setRoutes(std::make_shared<const RouteTable>(std::make_shared<const RoutingConfig>(std::move(config))));
        ClientRequest request;
        request.id = "1";
        request.method = "GET";
        request.target = "/parts/x";
        request.headers = {{"host", "shop.example"}, {"x-id", "1"}};
        request.arrived = loop_.now();
        std::optional<ClientAnswer> answer;
        coordinator_.serve(std::move(request), [&answer](const Route *, ClientAnswer given) { answer = std::move(given); });
        REQUIRE(loop_.runUntil([&answer] { return answer.has_value(); }, TestTimeout));
        return *answer;
    }

    EventLoop &loop()
    {
        return loop_;
    }

private:
    EventLoop loop_;
    std::vector<std::unique_ptr<RawServer>> servers_;
    std::vector<InstanceRecord> helpers_;
    std::unique_ptr<HttpClient> client_ = makeHttpClient(loop_, {8, 8, 1000});
    DecisionLog log_{loop_, STDERR_FILENO, "test"};
    HttpBackends backends_{loop_, *client_, Names, [](const ServerEntry &, const ServerHints &) {}, log_};
    HttpPeers peers_{loop_, *client_, Names, InstanceId("self"), [](const Peer &) {}};
    LatencyTracker latencies_;
    ServerLoad load_;
    ServerLimits limits_{InstanceId("self"), [](const LimitReport &) {}};
    ColdServers cold_{InstanceId("self"), LimitTerms::within(0.5, 5), [](const LimitReport &) {}};
    ServerNotices notices_;
    EmptiedDataCentres emptied_;
    ServerTable table_{[this](const ServerEntry &server, bool) { choice_.onListed(server, loop_.now()); }};
    ServerChoice choice_{table_, latencies_, load_, limits_, cold_, notices_, emptied_, {{DataCentre("a"), Region("home")}}, Region("home"), 7};
    RepeatBudget budget_{RepeatTerms{0.2, 10s, 50}, loop_.now() - 1min};
    RoutingCounters counters_;
    SilentJournal journal_;
    CrashGuard crashes_;
    ServerReach reach_{loop_, table_, [](const ReachChange &) {}};
    PeerChoice peerChoice_{[this] {
                               InstanceTable::Records group;
                               for (const InstanceRecord &helper : helpers_) {
                                   group.push_back(&helper);
                               }
                               return std::vector<InstanceTable::Records>{group};
                           },
                           [] { return true; },
                           [](const InstanceId &) { return true; },
                           InstanceId("self"),
                           7};
    RoutingContext context_{loop_, backends_, table_, choice_, load_, budget_, crashes_, reach_, counters_, journal_, peers_, peerChoice_};
    UnlimitedRates rates_;
    RequestCoordinator coordinator_{context_, rates_, 7};
};

Route partsRoute()
{
    Route route;
    route.name = "parts";
    route.host = "shop.example";
    route.prefix = "/parts/";
    route.repeatable = true;
    route.timeout = 2s;
    route.target = 200ms;
    route.attempts = 2;
    route.services = {{ServiceName("parts"), 1}};
    return route;
}

} // namespace

TEST_CASE("a response with status 000 or the like reaches no client, forwarded, gathered, hedged or passed on", "[status]")
{
    const std::string status = GENERATE(from_range(InvalidStatuses));
    const std::string invalid = response(status, "s-invalid");
    // At every byte of the status line and in a later header.
    const std::size_t firstPiece = GENERATE(range(std::size_t{1}, std::size_t{14}), std::size_t{40}, std::string::npos);
    INFO("status '" << status << "', first piece " << firstPiece);
    Instance instance;
    Route route = partsRoute();
    SECTION("forwarded")
    {
        instance.addServer("parts", invalid, firstPiece);
        const ClientAnswer answer = instance.ask(route);
        CHECK_FALSE(answer.succeeded());
        CHECK(answer.status == AnswerStatus::BadGateway);
        CHECK(answer.kind == ClientAnswer::Kind::Failed);
    }
    SECTION("forwarded, with another server that can answer")
    {
        instance.addServer("parts", invalid, firstPiece);
        instance.addServer("parts", response("200 OK", "s-valid"));
        for (int request = 0; request < 4; ++request) {
            CHECK(instance.ask(route).signatures == std::vector<std::string>{"s-valid"});
        }
    }
    SECTION("gathered")
    {
        route.services.clear();
        route.shards = {ServiceName("a"), ServiceName("b")};
        route.resultLimit = 2;
        route.minShare = 0.5;
        instance.addServer("a", invalid, firstPiece);
        instance.addServer("b", response("200 OK", "s-valid"));
        const ClientAnswer answer = instance.ask(route);
        CHECK(answer.status == AnswerStatus::Ok);
        CHECK(answer.missing == 1);
        CHECK(answer.signatures == std::vector<std::string>{"s-valid"});
    }
    SECTION("hedged, the only response")
    {
        route.timeout = 60ms;
        route.target = 30ms;
        RawServer &silent = instance.addServer("parts", "");
        instance.addServer("parts", invalid, firstPiece);
        const ClientAnswer answer = instance.ask(route);
        CHECK_FALSE(answer.succeeded());
        CHECK((answer.status == AnswerStatus::GatewayTimeout || answer.status == AnswerStatus::BadGateway));
        CHECK(silent.sockets.size() == 1);
    }
    SECTION("passed on for another instance")
    {
        instance.cutOffBeside(invalid, firstPiece);
        const ClientAnswer answer = instance.ask(route);
        CHECK_FALSE(answer.succeeded());
        CHECK(answer.kind == ClientAnswer::Kind::Failed);
        CHECK(answer.status == AnswerStatus::BadGateway);
    }
}

TEST_CASE("responses that the instances and servers of these tests send are answers if their status is valid", "[status]")
{
    const std::string valid = response("200 OK", "s-valid");
    Instance instance;
    const bool passedOn = GENERATE(false, true);
    if (passedOn) {
        instance.cutOffBeside(valid, 5);
    } else {
        instance.addServer("parts", valid, 5);
    }
    const ClientAnswer answer = instance.ask(partsRoute());
    CHECK(answer.kind == ClientAnswer::Kind::Passed);
    CHECK(answer.status == AnswerStatus::Ok);
    CHECK(answer.signatures == std::vector<std::string>{"s-valid"});
}
