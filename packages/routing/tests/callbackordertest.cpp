#include <catch2/catch.hpp>

#include "routingfixture.h"

#include <map>
#include <random>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Serves requests and does at random, within the callbacks of their answers, whatever the owner of a coordinator may do.
class CallbackWorld
{
public:
    explicit CallbackWorld(std::uint64_t seed)
        : random_(seed)
    {
        for (const char *shard : {"a", "b", "c", "d"}) {
            fixture_.addServer(std::string(shard) + "2", shard);
        }
        fixture_.addServer("p1", "parts");
        fixture_.addServer("p2", "parts");
        gather_ = fixture_.shardRoute({"a", "b", "c", "d"}, 0.5);
        setRoutes();
    }

    void step()
    {
        switch (number(8)) {
        case 0:
        case 1:
            return send();
        case 2:
        case 3:
        case 4:
            return answerOne();
        case 5:
            return fixture_.runtime.advance(milliseconds(number(120)));
        default:
            return act();
        }
    }

    /// Answers what is still open and lets all timers pass.
    void end()
    {
        ending_ = true;
        while (!fixture_.backends.open.empty()) {
            answerOne();
        }
        fixture_.runtime.advance(seconds(10));
        CHECK(fixture_.coordinator.pendingRequests() == 0);
        CHECK(fixture_.backends.open.empty());
        CHECK(fixture_.runtime.pending() == 0);
        for (const auto &[number, request] : requests_) {
            CHECK(request.answers == (request.disconnected ? request.answers : 1));
        }
    }

    std::size_t answersWithin = 0;

private:
    struct Request
    {
        ServedRequestId id = 0;
        int answers = 0;
        bool disconnected = false;
    };

    int number(int below)
    {
        return static_cast<int>(random_() % static_cast<std::uint64_t>(below));
    }

    void setRoutes()
    {
        Route once = RoutingFixture::route("parts");
        once.repeatable = number(2) == 0;
        fixture_.setRoutes({gather_, once});
    }

    void send()
    {
        const int key = ++last_;
        requests_[key];
        ClientRequest request;
        request.method = "GET";
        // Few targets, so that requests become suspects of the crashes that others saw.
        request.target = (number(3) == 0 ? "/parts/x" : "/all/x") + std::to_string(number(3));
        request.headers["host"] = "shop.example";
        request.arrived = fixture_.runtime.now();
        const ServedRequestId id = fixture_.coordinator.serve(std::move(request), [this, key](const Route *, const ClientAnswer &) {
            Request &answered = requests_.at(key);
            CHECK_FALSE(answered.disconnected);
            CHECK(++answered.answers == 1);
            ++answersWithin;
            if (!ending_ && depth_ < MaxDepth) {
                ++depth_;
                // The client may go away in the middle of its answer.
                if (answered.id != 0 && number(3) == 0) {
                    disconnect(answered);
                }
                act();
                --depth_;
            }
        });
        requests_.at(key).id = id;
    }

    void disconnect(Request &request)
    {
        request.disconnected = true;
        fixture_.coordinator.onClientDisconnected(request.id);
    }

    void disconnectOne()
    {
        if (requests_.empty()) {
            return;
        }
        Request &request = std::next(requests_.begin(), number(static_cast<int>(requests_.size())))->second;
        if (request.id != 0) {
            disconnect(request);
        }
    }

    void answerOne()
    {
        auto &open = fixture_.backends.open;
        if (open.empty()) {
            return;
        }
        const auto chosen = open.begin() + number(static_cast<int>(open.size()));
        const ManualBackends::Sent sent = *chosen;
        open.erase(chosen);
        switch (number(5)) {
        case 0:
            return sent.done(refusedByServer());
        case 1:
            return sent.done(lostAtServer());
        case 2:
            return sent.done(ServerReply{500, "sig", {}, "broken"});
        default:
            return sent.done(success(sent.server->id.text()));
        }
    }

    void act()
    {
        switch (number(7)) {
        case 0:
        case 1:
            return disconnectOne();
        case 2:
            return fixture_.coordinator.failAll("stopping");
        case 3:
            return setRoutes();
        case 4:
            return fixture_.servers.remove(ServerId(number(2) == 0 ? "p1" : "a1"), number(2) == 0);
        case 5:
            return fixture_.addServer(number(2) == 0 ? "p1" : "a1", number(2) == 0 ? "parts" : "a");
        default:
            return send();
        }
    }

    static constexpr int MaxDepth = 4;

    RoutingFixture fixture_;
    std::mt19937_64 random_;
    Route gather_;
    std::map<int, Request> requests_;
    int last_ = 0;
    int depth_ = 0;
    bool ending_ = false;
};

} // namespace

TEST_CASE("Requests that end within each other's answers, in any order, use nothing that is gone", "[coordinator][random]")
{
    constexpr std::uint64_t Seeds = 100;
    constexpr int Steps = 300;
    std::size_t answers = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        INFO("seed " << seed);
        CallbackWorld world(seed);
        for (int step = 0; step < Steps; ++step) {
            world.step();
        }
        world.end();
        answers += world.answersWithin;
    }
    CHECK(answers > Seeds * Steps / 10);
}

TEST_CASE("A client that leaves within its own answer resumes no call that waits and is gone", "[coordinator]")
{
    RoutingFixture fixture;
    // Under an alarm the shards are asked one after the other.
    fixture.crashes.onCrash(RequestFingerprint(7), {{ServerId("p"), false}, {ServerId("q"), false}, {ServerId("r"), false}}, fixture.runtime.now());
    Route route = fixture.shardRoute({"a", "b", "c"}, 1);
    route.attempts = 1;
    fixture.setRoutes({route});
    ClientRequest request;
    request.method = "GET";
    request.target = "/all/x";
    request.headers["host"] = "shop.example";
    request.arrived = fixture.runtime.now();
    ServedRequestId id = 0;
    int answers = 0;
    id = fixture.coordinator.serve(std::move(request), [&](const Route *, const ClientAnswer &) {
        ++answers;
        fixture.coordinator.onClientDisconnected(id);
    });
    REQUIRE(fixture.backends.open.size() == 1);
    fixture.backends.answer(ServerReply{500, "sig", {}, "broken"});
    CHECK(answers == 1);
    CHECK(fixture.backends.open.empty());
    fixture.runtime.advance(seconds(1));
    CHECK(fixture.runtime.pending() == 0);
}

TEST_CASE("A client that leaves within the failure of another one ends no process when all are failed", "[coordinator]")
{
    RoutingFixture fixture;
    fixture.addServer("p1", "parts");
    fixture.setRoutes({RoutingFixture::route("parts")});
    std::vector<ServedRequestId> ids;
    int answers = 0;
    for (int count = 0; count < 4; ++count) {
        ClientRequest request;
        request.method = "GET";
        request.target = "/parts/x";
        request.headers["host"] = "shop.example";
        request.arrived = fixture.runtime.now();
        ids.push_back(fixture.coordinator.serve(std::move(request), [&](const Route *, const ClientAnswer &) {
            ++answers;
            for (const ServedRequestId id : ids) {
                fixture.coordinator.onClientDisconnected(id);
            }
        }));
    }
    CHECK_NOTHROW(fixture.coordinator.failAll("the instance is stopping"));
    CHECK(answers == 1);
    CHECK(fixture.coordinator.pendingRequests() == 0);
    fixture.runtime.advance(seconds(1));
    CHECK(fixture.runtime.pending() == 0);
}
