#include <catch2/catch.hpp>

#include "routingfixture.h"

#include <burdock/routing/crashguard.h>
#include <burdock/routing/requesttrial.h>

#include <memory>
#include <random>
#include <set>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{

const RequestFingerprint Deadly(1);
const std::string DeadlyItem = "deadly";

/// Servers that crash as soon as they run one request, with all requests in progress there. They are back at once.
struct CrashingServers
{
    CrashingServers()
    {
        for (const char *shard : {"a", "b", "c", "d"}) {
            for (const char *copy : {"1", "2", "3"}) {
                fixture.addServer(std::string(shard) + copy, shard);
            }
            all.shards.emplace_back(shard);
        }
        for (int copy = 0; copy < 8; ++copy) {
            fixture.addServer("p" + std::to_string(copy), "parts");
        }
        fixture.setRoutes({all, RoutingFixture::route("parts")});
    }

    static Route shardedRoute()
    {
        Route route = RoutingFixture::route("all");
        route.services.clear();
        route.minShare = 0.75;
        route.resultLimit = 2;
        return route;
    }

    void send(const std::string &service, const std::string &item)
    {
        ClientRequest request;
        request.id = "attempt" + std::to_string(++attempts);
        request.method = "GET";
        request.target = "/" + service + "/" + item;
        request.headers["host"] = "shop.example";
        request.headers["attempt-id"] = request.id;
        request.arrived = fixture.runtime.now();
        fixture.coordinator.serve(std::move(request), [this, item](const Route *, const ClientAnswer &answer) { answers[item].push_back(answer.status); });
    }

    /// Lets all servers run what they have, those with the deadly request first, until nothing is in progress.
    void run()
    {
        auto &open = fixture.backends.open;
        while (!open.empty()) {
            const auto deadly = std::find_if(open.begin(), open.end(), [](const auto &sent) { return isDeadly(*sent.request); });
            if (deadly == open.end()) {
                const std::string server = open.front().server->id.text();
                fixture.backends.answer(success(server + std::to_string(++replies)), server);
                continue;
            }
            const std::string server = deadly->server->id.text();
            ++crashes;
            while (fixture.backends.isOpenAt(server)) {
                fixture.backends.answer(lostAtServer(), server);
            }
        }
    }

    static bool isDeadly(const ClientRequest &request)
    {
        return request.target.find(DeadlyItem) != std::string::npos;
    }

    RoutingFixture fixture;
    Route all = shardedRoute();
    std::map<std::string, std::vector<int>> answers;
    int attempts = 0;
    int replies = 0;
    int crashes = 0;
};

/// Instances that share their reports through a store, each of which sends a request that crashes every server that runs it.
class SharingInstances
{
public:
    explicit SharingInstances(std::uint32_t seed)
        : random_(seed)
    {
        for (int index = between(2, 9); index > 0; --index) {
            instances_.push_back({std::make_unique<CrashGuard>(), {}, runtime_.now() - seconds(10)});
        }
    }

    /// Returns how often the request was sent to a server late, by instances that had run for some time, after it had crashed three.
    int lateSends()
    {
        constexpr Duration Window = seconds(5);
        TimePoint third = TimePoint::max();
        int crashes = 0;
        int late = 0;
        for (const TimePoint end = runtime_.now() + seconds(60); runtime_.now() < end; runtime_.advance(milliseconds(between(20, 900)))) {
            const auto index = static_cast<std::size_t>(between(0, static_cast<int>(instances_.size()) - 1));
            if (between(0, 9) == 0) {
                restart(index);
                continue;
            }
            const bool settled = runtime_.now() - instances_[index].started > Window && third != TimePoint::max() && runtime_.now() - third > Window;
            const int sends = send(index);
            crashes += sends;
            late += settled ? sends : 0;
            if (crashes >= 3 && third == TimePoint::max()) {
                third = runtime_.now();
            }
        }
        return late;
    }

private:
    struct Instance
    {
        std::unique_ptr<CrashGuard> guard;
        /// What the store holds of it.
        std::vector<CrashReport> stored;
        TimePoint started{};
    };

    int between(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(random_);
    }

    void restart(std::size_t index)
    {
        Instance &restarted = instances_[index];
        restarted.guard = std::make_unique<CrashGuard>();
        restarted.started = runtime_.now();
        // It lists the store some time after it started to serve.
        runtime_.schedule(milliseconds(between(0, 2000)), [this, index] {
            for (std::size_t other = 0; other < instances_.size(); ++other) {
                if (other == index) {
                    instances_[index].guard->adoptReports(instances_[index].stored, runtime_.now());
                } else {
                    instances_[index].guard->addReports(id(other), instances_[other].stored, runtime_.now());
                }
            }
        });
    }

    static InstanceId id(std::size_t index)
    {
        return InstanceId("i" + std::to_string(index));
    }

    /// Sends the request as often as the guard allows, and shares what was seen after a while.
    int send(std::size_t index)
    {
        Instance &sender = instances_[index];
        RequestTrial trial(*sender.guard, Deadly, runtime_.now());
        int sends = 0;
        for (; sends < 2 && !trial.isGuilty(runtime_.now()); ++sends) {
            const ServerId server("s" + std::to_string(++servers_));
            trial.onSent(server);
            trial.onEnded(server, RequestTrial::Outcome::Crashed, runtime_.now());
        }
        if (sends > 0) {
            const auto reports = sender.guard->reports(runtime_.now());
            runtime_.schedule(milliseconds(between(5, 3000)), [this, index, reports] {
                instances_[index].stored = reports;
                for (std::size_t other = 0; other < instances_.size(); ++other) {
                    if (other != index) {
                        instances_[other].guard->addReports(id(index), reports, runtime_.now());
                    }
                }
            });
        }
        return sends;
    }

    ManualRuntime runtime_;
    std::mt19937 random_;
    std::vector<Instance> instances_;
    int servers_ = 0;
};

} // namespace

TEST_CASE("A request that crashes the servers that run it does not crash server after server", "[crashguard]")
{
    CrashingServers servers;
    SECTION("one that is sent to all shards loses one server of each and two more")
    {
        for (int coming = 0; coming < 20; ++coming) {
            servers.send("all", DeadlyItem);
            servers.run();
            servers.fixture.runtime.advance(seconds(1));
        }
        CHECK(servers.crashes <= 6);
        CHECK(servers.answers[DeadlyItem].front() == AnswerStatus::BadGateway);
        CHECK(servers.answers[DeadlyItem].back() == AnswerStatus::Unavailable);
    }
    SECTION("one that is sent to one service loses three")
    {
        for (int coming = 0; coming < 20; ++coming) {
            servers.send("parts", DeadlyItem);
            servers.run();
            servers.fixture.runtime.advance(seconds(1));
        }
        CHECK(servers.crashes <= 3);
        CHECK(servers.answers[DeadlyItem].back() == AnswerStatus::Unavailable);
    }
    CHECK(servers.answers[DeadlyItem].size() == 20);
    CHECK(servers.fixture.counters.refusedAsGuilty >= 17);
}

TEST_CASE("Innocent requests that are in progress at a crash get their answers", "[crashguard]")
{
    for (const char *service : {"all", "parts"}) {
        CrashingServers servers;
        for (int innocent = 0; innocent < 4; ++innocent) {
            servers.send(service, "innocent" + std::to_string(innocent));
        }
        servers.send(service, DeadlyItem);
        servers.run();
        for (int innocent = 0; innocent < 4; ++innocent) {
            INFO(service << " " << innocent);
            CHECK(servers.answers["innocent" + std::to_string(innocent)] == std::vector<int>{AnswerStatus::Ok});
        }
    }
}

TEST_CASE("An answer clears a suspect, which is then hedged and retried as any other", "[crashguard]")
{
    CrashingServers servers;
    servers.send("parts", "innocent");
    servers.fixture.backends.answer(lostAtServer());
    REQUIRE(servers.fixture.backends.open.size() == 1);
    servers.fixture.backends.answer(lostAtServer());
    servers.fixture.runtime.advance(seconds(2));
    servers.send("parts", "innocent");
    servers.fixture.runtime.advance(milliseconds(390));
    CHECK(servers.fixture.backends.open.size() == 1);
    CHECK(servers.fixture.crashes.size() == 1);
    // The server is silent, but has not crashed.
    servers.fixture.runtime.advance(milliseconds(20));
    CHECK(servers.fixture.backends.open.size() == 2);
    servers.run();
    CHECK(servers.fixture.crashes.size() == 0);
    servers.send("parts", "innocent");
    servers.fixture.runtime.advance(milliseconds(390));
    CHECK(servers.fixture.backends.open.size() == 2);
}

TEST_CASE("After a crash of several servers an unknown request to all shards is sent to one of them at first", "[crashguard]")
{
    CrashingServers servers;
    servers.send("all", DeadlyItem);
    servers.run();
    servers.send("all", "unknown");
    CHECK(servers.fixture.backends.open.size() == 1);
    servers.fixture.backends.answer(success("first"));
    CHECK(servers.fixture.backends.open.size() == 3);
    servers.run();
    CHECK(servers.answers["unknown"] == std::vector<int>{AnswerStatus::Ok});
    servers.fixture.runtime.advance(seconds(2));
    servers.send("all", "later");
    CHECK(servers.fixture.backends.open.size() == 4);
}

TEST_CASE("A lost connection to a server that goes on answering makes no request guilty", "[crashguard]")
{
    ManualRuntime runtime;
    CrashGuard guard;
    const ServerId server("p1");
    for (int time = 0; time < 20; ++time) {
        RequestTrial trial(guard, Deadly, runtime.now());
        CHECK_FALSE(trial.isGuilty(runtime.now()));
        trial.onSent(server);
        trial.onEnded(server, RequestTrial::Outcome::Crashed, runtime.now());
        runtime.advance(milliseconds(10));
        guard.onServerAnswered(server, runtime.now() - milliseconds(5));
    }
    CHECK(guard.size() == 0);
    SECTION("what was sent before the loss proves nothing, nor does a server that may have started anew")
    {
        for (const Duration sentAfter : {Duration(milliseconds(-5)), Duration(seconds(2))}) {
            const TimePoint lost = runtime.now();
            guard.onCrash(Deadly, {{server, true}}, lost);
            runtime.advance(seconds(3));
            guard.onServerAnswered(server, lost + sentAfter);
        }
        CHECK(guard.judge(Deadly, runtime.now()) == CrashGuard::Verdict::Guilty);
    }
}

TEST_CASE("A request is known by caller, host, method, target and body, not by the id of its attempt", "[crashguard]")
{
    ClientRequest request;
    request.id = "1";
    request.method = "POST";
    request.target = "/parts/x?page=1";
    request.body = "belt";
    request.headers = {{"host", "shop.example"}, {"authorization", "key"}, {"attempt-id", "1"}, {"timeout-remaining", "100"}};
    const RequestFingerprint known = RequestFingerprint::of(request);
    ClientRequest other = request;
    SECTION("the id and the time left change")
    {
        other.id = "2";
        other.headers["attempt-id"] = "2";
        other.headers["timeout-remaining"] = "90";
        CHECK(RequestFingerprint::of(other) == known);
    }
    SECTION("the body changes")
    {
        other.body = "bolt";
        CHECK(RequestFingerprint::of(other) != known);
    }
    SECTION("the target changes")
    {
        other.target = "/parts/x?page=2";
        CHECK(RequestFingerprint::of(other) != known);
    }
    SECTION("the caller changes")
    {
        other.headers["authorization"] = "other";
        CHECK(RequestFingerprint::of(other) != known);
    }
    SECTION("the parts are kept apart")
    {
        other.method = "POST/";
        other.target = "parts/x?page=1";
        CHECK(RequestFingerprint::of(other) != known);
    }
}

TEST_CASE("The memory of crashes is bounded and keeps the guilty longest", "[crashguard]")
{
    ManualRuntime runtime;
    CrashGuard guard;
    guard.onCrash(Deadly, {{ServerId("p"), true}}, runtime.now());
    guard.onCrash(Deadly, {{ServerId("p"), true}}, runtime.now());
    for (std::uint64_t request = 2; request < 10000; ++request) {
        runtime.advance(milliseconds(1));
        guard.onCrash(RequestFingerprint(request), {{ServerId("p"), false}}, runtime.now());
    }
    CHECK(guard.size() <= 2048);
    CHECK(guard.judge(Deadly, runtime.now()) == CrashGuard::Verdict::Guilty);
    CHECK(guard.reports(runtime.now()).size() == CrashGuard::MaxShared);
    CHECK(guard.reports(runtime.now()).front().request == Deadly);
    runtime.advance(minutes(3));
    CHECK(guard.judge(Deadly, runtime.now()) == CrashGuard::Verdict::Suspect);
}

TEST_CASE("A request that crashed servers of one instance is refused by the others, and after restarts", "[crashguard]")
{
    constexpr std::uint32_t Seeds = 200;
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        SharingInstances instances(seed);
        INFO("seed " << seed);
        CHECK(instances.lateSends() <= 3);
    }
}
