#include <catch2/catch.hpp>

#include "routingfixture.h"

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

/// Decides as the test says, at once or later.
class ManualRates final : public RateLimiter
{
public:
    struct Asked
    {
        RateRequestId id = 0;
        std::string name;
        std::int64_t priority = 0;
        Duration maxWait{0};
        Callback done;
    };

    RateRequestId acquire(const std::string &name, const RateTerms & /*terms*/, std::int64_t priority, Duration maxWait, Callback done) override
    {
        ++all;
        if (atOnce) {
            done(*atOnce);
            return 0;
        }
        waiting.push_back({++last_, name, priority, maxWait, std::move(done)});
        return last_;
    }

    void cancel(RateRequestId id) override
    {
        const auto isNamed = [id](const Asked &asked) { return asked.id == id; };
        waiting.erase(std::remove_if(waiting.begin(), waiting.end(), isNamed), waiting.end());
    }

    void giveBack(const std::string &name, const RateDecision & /*admission*/) override
    {
        givenBack.push_back(name);
    }

    /// Decides on the oldest request that waits.
    void decide(const RateDecision &decision)
    {
        const Asked asked = waiting.front();
        waiting.erase(waiting.begin());
        asked.done(decision);
    }

    std::optional<RateDecision> atOnce;
    std::vector<Asked> waiting;
    std::vector<std::string> givenBack;
    std::size_t all = 0;

private:
    RateRequestId last_ = 0;
};

Workspace workspace(const std::string &name, std::vector<std::string> keys)
{
    Workspace made;
    made.name = name;
    made.keys = std::move(keys);
    return made;
}

/// A coordinator whose requests need the key of a workspace: `k1` or `k2` of `yard`, or `h1` of `haul`, which has a rate.
struct WorkspaceFixture : RoutingFixture
{
    WorkspaceFixture()
    {
        addServer("p1", "parts");
        Workspace haul = workspace("haul", {"h1"});
        haul.rate = {10, 5};
        apply({workspace("yard", {"k1", "k2"}), haul});
    }

    void apply(std::vector<Workspace> workspaces, Route route = RoutingFixture::route("parts"))
    {
        RoutingConfig config;
        config.version = ++version;
        config.routes = {std::move(route)};
        config.needsKeys = true;
        config.workspaces = std::move(workspaces);
        admitting.setRoutes(std::make_shared<const RouteTable>(std::make_shared<const RoutingConfig>(std::move(config))));
    }

    ServedRequestId send(const std::string &key, std::optional<PassOnTerms> passedOn = std::nullopt)
    {
        ClientRequest request;
        request.id = "attempt";
        request.method = "GET";
        request.target = "/parts/x";
        request.headers["host"] = "shop.example";
        request.arrived = runtime.now();
        request.key = key;
        request.passedOn = std::move(passedOn);
        answer.reset();
        return admitting.serve(std::move(request), [this](const Route *, ClientAnswer given) {
            CHECK_FALSE(answer);
            answer = std::move(given);
        });
    }

    static PassOnTerms fromPeer(std::int64_t version, const std::string &workspace)
    {
        PassOnTerms terms;
        terms.from = InstanceId("peer");
        terms.configVersion = version;
        terms.workspace = workspace;
        terms.workspaceConfig = version;
        return terms;
    }

    ManualRates asked;
    RequestCoordinator admitting{context, asked, 7};
};

} // namespace

TEST_CASE("A key names its workspace, and another names none", "[workspaces]")
{
    RoutingConfig config;
    config.workspaces = {workspace("yard", {"k1", "k2", ""}), workspace("haul", {"h1", "k1"})};
    const WorkspaceTable table(config);
    REQUIRE(table.findByKey("k1") != nullptr);
    CHECK(table.findByKey("k1")->name == "yard");
    CHECK(table.findByKey("k2")->name == "yard");
    CHECK(table.findByKey("h1")->name == "haul");
    for (const char *unknown : {"", "k", "k11", "K1", "k1, k1"}) {
        CHECK(table.findByKey(unknown) == nullptr);
    }
    CHECK(table.findByName("haul")->name == "haul");
    CHECK(table.findByName("k1") == nullptr);
}

TEST_CASE("Servers get the workspace of the key, and the key goes nowhere", "[workspaces]")
{
    WorkspaceFixture fixture;
    fixture.send("k2");
    REQUIRE(fixture.backends.open.size() == 1);
    CHECK(fixture.backends.open.front().request->workspace == "yard");
    CHECK(fixture.backends.open.front().request->key.empty());
}

TEST_CASE("A request with an unknown key or none is refused at once, without a time to come back", "[workspaces]")
{
    WorkspaceFixture fixture;
    for (const char *key : {"", "h11"}) {
        fixture.send(key);
        REQUIRE(fixture.answer);
        CHECK(fixture.answer->status == AnswerStatus::Unauthorized);
        CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
        CHECK(fixture.answer->retryAfter == Duration{0});
        CHECK((fixture.answer->reason.find("h11") == std::string::npos));
    }
    CHECK(fixture.counters.refusedWithoutKey == 1);
    CHECK(fixture.counters.refusedUnknownKey == 1);
    CHECK(fixture.backends.all == 0);
}

TEST_CASE("An open route needs no key and names no workspace", "[workspaces]")
{
    WorkspaceFixture fixture;
    Route open = RoutingFixture::route("parts");
    open.open = true;
    fixture.apply({workspace("yard", {"k1"})}, open);
    for (const char *key : {"", "k1", "unknown"}) {
        fixture.send(key);
        REQUIRE(fixture.backends.open.size() == 1);
        CHECK(fixture.backends.open.front().request->workspace.empty());
        fixture.backends.answer(success("x"));
        CHECK(fixture.answer->succeeded());
    }
}

TEST_CASE("An instance without a configuration refuses for now, whatever the key", "[workspaces]")
{
    WorkspaceFixture fixture;
    RequestCoordinator starting(fixture.context, fixture.asked, 7);
    ClientRequest request;
    request.key = "unknown";
    starting.serve(std::move(request), [](const Route *, const ClientAnswer &answer) {
        CHECK(answer.status == AnswerStatus::Unavailable);
        CHECK(answer.retryAfter > Duration{0});
    });
}

TEST_CASE("A withdrawn key ends with the configuration that lacks it, and a request in progress is still answered", "[workspaces]")
{
    WorkspaceFixture fixture;
    fixture.send("k1");
    fixture.apply({workspace("yard", {"k2"})});
    fixture.backends.answer(success("x"));
    CHECK(fixture.answer->succeeded());
    fixture.send("k1");
    CHECK(fixture.answer->status == AnswerStatus::Unauthorized);
    fixture.send("k2");
    CHECK_FALSE(fixture.answer);
}

TEST_CASE("A workspace's priority goes before the route's, and only the regions remain that both allow", "[workspaces]")
{
    WorkspaceFixture fixture;
    Route route = RoutingFixture::route("parts");
    route.priority = 3;
    route.regions = {Region("home"), Region("away")};
    RoutingConfig config;
    config.routes = {route};
    const auto table = std::make_shared<const RouteTable>(std::make_shared<const RoutingConfig>(config));
    const auto plain = table->find("shop.example", "/parts/x");
    EffectiveRoutes effective(table);
    CHECK(effective.find(plain, workspace("w", {})) == plain);
    Workspace urgent = workspace("w", {});
    urgent.priority = 0;
    const auto first = effective.find(plain, urgent);
    CHECK(first->priority == 0);
    CHECK(first->regions == route.regions);
    CHECK(effective.find(plain, urgent) == first);
    Workspace homely = workspace("w", {});
    homely.regions = {Region("home"), Region("elsewhere")};
    CHECK(effective.find(plain, homely)->regions == std::vector<Region>{Region("home")});
    CHECK(effective.find(plain, homely)->priority == 3);
    homely.regions = {Region("elsewhere")};
    CHECK(effective.find(plain, homely) == nullptr);
}

TEST_CASE("A request that may be served in no region is refused at once", "[workspaces]")
{
    WorkspaceFixture fixture;
    Route route = RoutingFixture::route("parts");
    route.regions = {Region("home")};
    Workspace away = workspace("yard", {"k1"});
    away.regions = {Region("away")};
    fixture.apply({away}, route);
    fixture.send("k1");
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->status == AnswerStatus::Unavailable);
    CHECK(fixture.counters.refusedNoRegion == 1);
    CHECK(fixture.backends.all == 0);
}

TEST_CASE("A request over the rate of its workspace is refused at once with a time to come back", "[workspaces]")
{
    WorkspaceFixture fixture;
    fixture.asked.atOnce = RateDecision{false, 300ms, {}};
    fixture.send("h1");
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->status == AnswerStatus::TooManyRequests);
    CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
    CHECK(fixture.answer->retryAfter == 300ms);
    CHECK((fixture.answer->reason.find("haul") != std::string::npos));
    CHECK(fixture.counters.refusedOverRate == 1);
    CHECK(fixture.asked.givenBack.empty());
    fixture.send("k1");
    CHECK(fixture.asked.all == 1);
    CHECK(fixture.backends.all == 1);
}

TEST_CASE("A request waits for the decision on its rate, for half of its target at most", "[workspaces]")
{
    WorkspaceFixture fixture;
    fixture.send("h1");
    CHECK(fixture.backends.all == 0);
    REQUIRE(fixture.asked.waiting.size() == 1);
    CHECK(fixture.asked.waiting.front().maxWait == 100ms);
    CHECK(fixture.admitting.pendingRequests() == 1);
    fixture.asked.decide(RateDecision{});
    CHECK(fixture.backends.all == 1);
    fixture.backends.answer(success("x"));
    CHECK(fixture.answer->succeeded());
    CHECK(fixture.asked.givenBack.empty());
    CHECK(fixture.admitting.pendingRequests() == 0);
}

TEST_CASE("A request that waits for its rate is forgotten when its client leaves, and refused when the instance stops", "[workspaces]")
{
    WorkspaceFixture fixture;
    fixture.admitting.onClientDisconnected(fixture.send("h1"));
    CHECK(fixture.asked.waiting.empty());
    fixture.send("h1");
    fixture.admitting.failAll("the instance is stopping");
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
    CHECK(fixture.asked.waiting.empty());
    CHECK(fixture.admitting.pendingRequests() == 0);
}

TEST_CASE("A request that no server got gives its part of the rate back, and one that a server got keeps it", "[workspaces]")
{
    WorkspaceFixture fixture;
    fixture.asked.atOnce = RateDecision{};
    fixture.send("h1");
    fixture.backends.answer(refusedByServer());
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
    CHECK(fixture.asked.givenBack.empty());
    WorkspaceFixture other;
    other.asked.atOnce = RateDecision{};
    other.send("h1");
    other.backends.answer(notConnected());
    REQUIRE(other.answer);
    CHECK(other.answer->kind == ClientAnswer::Kind::Refused);
    CHECK(other.asked.givenBack == std::vector<std::string>{"haul"});
}

TEST_CASE("A request that a peer passed on belongs to the workspace that the peer names, whose rate it has charged", "[workspaces]")
{
    WorkspaceFixture fixture;
    fixture.send("", WorkspaceFixture::fromPeer(1, "haul"));
    CHECK(fixture.asked.all == 0);
    REQUIRE(fixture.backends.open.size() == 1);
    CHECK(fixture.backends.open.front().request->workspace == "haul");
}

TEST_CASE("A request of a workspace that a newer configuration lacks is refused to the peer that passed it on", "[workspaces]")
{
    WorkspaceFixture fixture;
    fixture.apply({workspace("yard", {"k1"})});
    fixture.send("", WorkspaceFixture::fromPeer(1, "haul"));
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->status == AnswerStatus::Unauthorized);
    CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
}

TEST_CASE("A request whose key may have been withdrawn since its instance looked it up is refused until that instance knows better", "[workspaces]")
{
    WorkspaceFixture fixture;
    fixture.apply({workspace("yard", {"k1"}), workspace("haul", {"h1", "h2"})});
    PassOnTerms terms = WorkspaceFixture::fromPeer(fixture.version, "yard");
    terms.workspaceConfig = 1;
    fixture.send("", terms);
    REQUIRE(fixture.answer);
    CHECK(fixture.answer->kind == ClientAnswer::Kind::Refused);
    CHECK(fixture.answer->status == AnswerStatus::Unavailable);
    CHECK(fixture.answer->inability == ClientAnswer::Inability::Configuration);
    terms.workspace = "haul";
    fixture.send("", terms);
    CHECK_FALSE(fixture.answer);
    terms.workspace = "yard";
    terms.workspaceConfig = 2;
    fixture.send("", terms);
    CHECK_FALSE(fixture.answer);
}

TEST_CASE("The first configuration of a life tells nothing about keys of the ones before", "[workspaces]")
{
    RoutingConfig config;
    config.version = 4;
    config.workspaces = {workspace("yard", {"k1"})};
    KeyWithdrawals withdrawals;
    withdrawals.onConfig(config, nullptr);
    CHECK(withdrawals.mayBeWithdrawn("yard", 3));
    CHECK_FALSE(withdrawals.mayBeWithdrawn("yard", 4));
    RoutingConfig next = config;
    next.version = 6;
    next.workspaces.front().keys.emplace_back("k2");
    withdrawals.onConfig(next, &config);
    CHECK_FALSE(withdrawals.mayBeWithdrawn("yard", 4));
}

TEST_CASE("A request that an earlier build passed on is identified and charged by the client's key", "[workspaces]")
{
    WorkspaceFixture fixture;
    fixture.asked.atOnce = RateDecision{};
    fixture.send("h1", WorkspaceFixture::fromPeer(1, ""));
    CHECK(fixture.asked.all == 1);
    REQUIRE(fixture.backends.open.size() == 1);
    CHECK(fixture.backends.open.front().request->workspace == "haul");
    fixture.send("unknown", WorkspaceFixture::fromPeer(1, ""));
    CHECK(fixture.answer->status == AnswerStatus::Unauthorized);
}
