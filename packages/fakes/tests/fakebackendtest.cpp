#include "recordingresponder.h"

#include <burdock/fakes/fakebackend.h>
#include <burdock/fakes/faultgate.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>

using namespace Burdock;
using Json = nlohmann::json;

namespace
{

const Duration Service = std::chrono::milliseconds(10);

struct BackendFixture
{
    ManualRuntime runtime;
    FakeBackend::Indexes indexes{{IndexName("parts"), FakeIndex(IndexName("parts"), 300, ScoreShape::Even)}};
    FakeBackend backend;

    BackendFixture()
        : backend(runtime, indexes, declaration(), 7, [](const std::function<void()> &work) { work(); })
    {
        backend.setVersions(IndexName("parts"), VersionWindow{5, 7});
    }

    static FakeServerDeclaration declaration()
    {
        FakeServerDeclaration declaration;
        declaration.slots = 2;
        declaration.queue = 1;
        declaration.service = Service;
        declaration.connectionCost = std::chrono::milliseconds(6);
        declaration.shards = {FakeShard{IndexName("parts"), ShardId("s0"), KeyRange{0, KeySpace / 2}, 2}};
        return declaration;
    }

    std::shared_ptr<RecordingResponder> sendRequest(const std::string &path, const Json &body, std::map<std::string, std::string> headers = {})
    {
        auto responder = std::make_shared<RecordingResponder>();
        HttpServerRequest request;
        request.method = body.is_null() ? "GET" : "POST";
        request.path = path;
        request.headers = std::move(headers);
        request.body = body.is_null() ? "" : body.dump();
        backend.handle(request, responder);
        return responder;
    }

    std::shared_ptr<RecordingResponder> search(std::string id, std::uint64_t version = 6, std::map<std::string, std::string> headers = {})
    {
        headers["x-request-id"] = std::move(id);
        const Json body{{"index", "parts"},
                        {"version", version},
                        {"mapGeneration", 2},
                        {"shard", "s0"},
                        {"begin", 0},
                        {"end", KeySpace / 2},
                        {"query", "belt"},
                        {"offset", 0},
                        {"limit", 5}};
        return sendRequest("/search", body, std::move(headers));
    }

    std::shared_ptr<RecordingResponder> execute(const std::string &id, const std::string &key)
    {
        return sendRequest("/execute", Json{{"command", "invoice"}, {"key", key}, {"payload", "p"}}, {{"x-request-id", id}});
    }
};

} // namespace

TEST_CASE("A fake server returns exact results and refuses versions and shards that it does not hold", "[fakes][backend]")
{
    BackendFixture fixture;
    const auto answer = fixture.search("r1");
    CHECK(answer->status() == 0);
    fixture.runtime.advance(2 * Service);
    REQUIRE(answer->status() == 200);
    CHECK(answer->json()["requestId"] == "r1");
    const auto expected = fixture.indexes.begin()->second.search(KeyRange{0, KeySpace / 2}, 6, "belt", 0, 5);
    CHECK(answer->json()["hits"][0]["id"] == expected[0].id);
    CHECK(answer->json()["hits"][0]["score"].get<double>() == expected[0].score);
    CHECK(answer->json()["versions"]["parts"]["oldest"] == 5);

    SECTION("another version is refused without execution")
    {
        const auto refused = fixture.search("r2", 4);
        CHECK(refused->status() == 409);
        CHECK(refused->json()["error"] == "wrongVersion");
    }
    SECTION("a shard removed by a repartition is refused without execution")
    {
        fixture.backend.setShards({FakeShard{IndexName("parts"), ShardId("s0"), KeyRange{0, KeySpace / 4}, 3}});
        const auto refused = fixture.search("r2");
        CHECK(refused->status() == 409);
        CHECK(refused->json()["error"] == "wrongShard");
    }
    CHECK(fixture.backend.requestExecutions() == std::map<std::string, std::uint32_t>{{"r1", 1}});
}

TEST_CASE("Requests beyond slots and queue are shed without execution", "[fakes][backend]")
{
    BackendFixture fixture;
    const auto first = fixture.search("r1");
    const auto second = fixture.execute("r2", "k");
    const auto third = fixture.search("r3");
    const auto fourth = fixture.search("r4");
    CHECK(fourth->status() == 429);
    CHECK(fourth->answer->headers["X-Not-Run"] == "1");
    CHECK(fixture.backend.requestExecutions().count("r3") == 0);

    SECTION("a cancelled request frees its slot or queue place")
    {
        fixture.sendRequest("/cancel", Json{{"requestId", "r1"}});
        CHECK(first->status() == 500);
        CHECK(fixture.backend.requestExecutions().count("r3") == 1);
        fixture.search("r5");
        fixture.sendRequest("/cancel", Json{{"requestId", "r5"}});
        fixture.runtime.advance(10 * Service);
        CHECK(fixture.backend.requestExecutions().count("r5") == 0);
    }
    SECTION("a running command is not cancelled")
    {
        fixture.sendRequest("/cancel", Json{{"requestId", "r2"}});
        fixture.runtime.advance(10 * Service);
        CHECK(second->json()["outcome"] == "done k");
    }
    fixture.runtime.advance(10 * Service);
    CHECK(fixture.backend.requestExecutions().count("r4") == 0);
    CHECK(fixture.backend.commandExecutions() == std::map<std::string, std::uint32_t>{{"invoice/k", 1}});
    CHECK(third->status() == 200);
    CHECK(fixture.backend.busy() == 0);
}

TEST_CASE("A request whose deadline has passed is refused without execution", "[fakes][backend]")
{
    BackendFixture fixture;
    CHECK(fixture.search("late", 6, {{"x-deadline-ms", "0"}})->status() == 504);
    fixture.search("r1");
    fixture.search("r2");
    const auto queued = fixture.search("queued", 6, {{"x-deadline-ms", "3"}});
    fixture.runtime.advance(3 * Service);
    CHECK(queued->status() == 504);
    CHECK(fixture.backend.requestExecutions().size() == 2);
}

TEST_CASE("A fake server applies its behaviour faults", "[fakes][backend][faults]")
{
    BackendFixture fixture;
    BehaviourFaults behaviour;
    SECTION("announced draining")
    {
        const auto running = fixture.search("r1");
        behaviour.draining = true;
        fixture.backend.setBehaviour(behaviour);
        const auto refused = fixture.search("r2");
        CHECK(refused->status() == 503);
        CHECK(refused->answer->headers["X-Draining"] == "1");
        CHECK(fixture.sendRequest("/health", Json())->json()["status"] == "draining");
        fixture.runtime.advance(3 * Service);
        CHECK(running->answer->headers["X-Draining"] == "1");
        CHECK(fixture.backend.counters().arrivedWhileDraining == 1);
    }
    SECTION("unannounced draining while health reports ok")
    {
        behaviour.draining = true;
        behaviour.announceDraining = false;
        fixture.backend.setBehaviour(behaviour);
        const auto served = fixture.search("r1");
        fixture.runtime.advance(3 * Service);
        CHECK(served->status() == 200);
        CHECK(fixture.sendRequest("/health", Json())->json()["status"] == "ok");
        CHECK(fixture.backend.counters().arrivedWhileDraining == 1);
    }
    SECTION("hits omitted, and results from another version and shard")
    {
        behaviour.omittedHits = 2;
        behaviour.wrongVersion = true;
        behaviour.wrongShard = true;
        fixture.backend.setBehaviour(behaviour);
        const auto served = fixture.search("r1");
        fixture.runtime.advance(3 * Service);
        CHECK(served->json()["hits"].size() == 3);
        CHECK(served->json()["version"] == 7);
        CHECK(served->json()["shard"] == "s0-other");
    }
    SECTION("the reply of another request")
    {
        fixture.search("r1");
        fixture.runtime.advance(3 * Service);
        behaviour.repeatPreviousBody = true;
        fixture.backend.setBehaviour(behaviour);
        const auto served = fixture.search("r2");
        fixture.runtime.advance(3 * Service);
        CHECK(served->json()["requestId"] == "r1");
    }
    SECTION("a load endpoint that reports an idle server")
    {
        fixture.search("r1");
        CHECK(fixture.sendRequest("/load", Json())->json()["busy"] == 1);
        behaviour.load = SelfReport::Good;
        fixture.backend.setBehaviour(behaviour);
        CHECK(fixture.sendRequest("/load", Json())->json()["busy"] == 0);
    }
}

TEST_CASE("The fault gate applies its transport faults", "[fakes][faults]")
{
    ManualRuntime runtime;
    int effects = 0;
    Outage outage = Outage::None;
    FaultGate gate(
        runtime,
        [&](const HttpServerRequest &, const std::shared_ptr<FakeResponder> &responder) {
            ++effects;
            responder->respond(HttpServerResponse{});
        },
        [&](Outage wanted) { outage = wanted; });
    const auto sendRequest = [&](const std::string &path) {
        auto responder = std::make_shared<RecordingResponder>();
        HttpServerRequest request;
        request.path = path;
        gate.handle(request, responder);
        return responder;
    };
    const auto set = [&](const Json &change) { gate.setFaults(changeFaults(TransportFaults{}, change).value()); };

    SECTION("every second transaction loses its reply after the effect, twice")
    {
        set(Json{{"delivery", "dropped"}, {"path", "/v3/kv/txn"}, {"every", 2}, {"times", 2}});
        std::vector<bool> dropped;
        for (int number = 0; number < 7; ++number) {
            CHECK(sendRequest("/v3/kv/range")->delivery == Delivery::Whole);
            dropped.push_back(sendRequest("/v3/kv/txn")->delivery == Delivery::Dropped);
        }
        CHECK(dropped == std::vector<bool>{false, true, false, true, false, false, false});
        CHECK(effects == 14);
    }
    SECTION("an injected error has no effect on the handler")
    {
        set(Json{{"error", 500}});
        CHECK(sendRequest("/")->status() == 500);
        CHECK(effects == 0);
    }
    SECTION("a delay comes before the effect, a reply delay after it")
    {
        set(Json{{"delayMs", 5}, {"replyDelayMs", 5}});
        const auto answer = sendRequest("/");
        runtime.advance(std::chrono::milliseconds(4));
        CHECK(effects == 0);
        runtime.advance(std::chrono::milliseconds(2));
        CHECK(effects == 1);
        CHECK(answer->status() == 0);
        runtime.advance(std::chrono::milliseconds(5));
        CHECK(answer->status() == 200);
    }
    SECTION("requests are deferred until a freeze ends")
    {
        set(Json{{"frozen", true}});
        const auto answer = sendRequest("/");
        CHECK(effects == 0);
        set(Json::object());
        CHECK(answer->status() == 200);
    }
    SECTION("a hang sends no response, a refusal closes the port")
    {
        set(Json{{"outage", "hang"}});
        CHECK(sendRequest("/")->status() == 0);
        set(Json{{"outage", "refuse"}});
        CHECK(outage == Outage::Refuse);
        set(Json::object());
        CHECK(outage == Outage::None);
        CHECK(effects == 0);
    }
    SECTION("an unknown fault is refused")
    {
        CHECK_FALSE(changeFaults(TransportFaults{}, Json{{"colour", 1}}));
        CHECK_FALSE(changeFaults(TransportFaults{}, Json{{"delivery", "lost"}}));
    }
}
