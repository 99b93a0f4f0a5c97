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

struct Bench
{
    ManualRuntime runtime;
    FakeBackend::Indexes indexes{{IndexName("parts"), FakeIndex(IndexName("parts"), 300, ScoreShape::Even)}};
    FakeBackend backend;

    Bench()
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

    std::shared_ptr<RecordingResponder> ask(const std::string &path, const Json &body, std::map<std::string, std::string> headers = {})
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
        return ask("/search", body, std::move(headers));
    }

    std::shared_ptr<RecordingResponder> execute(const std::string &id, const std::string &key)
    {
        return ask("/execute", Json{{"command", "invoice"}, {"key", key}, {"payload", "p"}}, {{"x-request-id", id}});
    }
};

} // namespace

TEST_CASE("A stand-in server answers exactly and only what it holds", "[fakes][backend]")
{
    Bench bench;
    const auto answer = bench.search("r1");
    CHECK(answer->status() == 0);
    bench.runtime.advance(2 * Service);
    REQUIRE(answer->status() == 200);
    CHECK(answer->json()["requestId"] == "r1");
    const auto expected = bench.indexes.begin()->second.search(KeyRange{0, KeySpace / 2}, 6, "belt", 0, 5);
    CHECK(answer->json()["hits"][0]["id"] == expected[0].id);
    CHECK(answer->json()["hits"][0]["score"].get<double>() == expected[0].score);
    CHECK(answer->json()["versions"]["parts"]["oldest"] == 5);

    SECTION("another version is refused, not run")
    {
        const auto refused = bench.search("r2", 4);
        CHECK(refused->status() == 409);
        CHECK(refused->json()["error"] == "wrongVersion");
    }
    SECTION("after a repartition the old shard is refused, not run")
    {
        bench.backend.setShards({FakeShard{IndexName("parts"), ShardId("s0"), KeyRange{0, KeySpace / 4}, 3}});
        const auto refused = bench.search("r2");
        CHECK(refused->status() == 409);
        CHECK(refused->json()["error"] == "wrongShard");
    }
    CHECK(bench.backend.ranRequests() == std::map<std::string, std::uint32_t>{{"r1", 1}});
}

TEST_CASE("Slots and queue bound the work; what is shed did not run", "[fakes][backend]")
{
    Bench bench;
    const auto first = bench.search("r1");
    const auto second = bench.execute("r2", "k");
    const auto third = bench.search("r3");
    const auto fourth = bench.search("r4");
    CHECK(fourth->status() == 429);
    CHECK(fourth->answer->headers["X-Not-Run"] == "1");
    CHECK(bench.backend.ranRequests().count("r3") == 0);

    SECTION("a cancelled request gives its place away")
    {
        bench.ask("/cancel", Json{{"requestId", "r1"}});
        CHECK(first->status() == 500);
        CHECK(bench.backend.ranRequests().count("r3") == 1);
        bench.search("r5");
        bench.ask("/cancel", Json{{"requestId", "r5"}});
        bench.runtime.advance(10 * Service);
        CHECK(bench.backend.ranRequests().count("r5") == 0);
    }
    SECTION("a running command is not cancelled")
    {
        bench.ask("/cancel", Json{{"requestId", "r2"}});
        bench.runtime.advance(10 * Service);
        CHECK(second->json()["outcome"] == "done k");
    }
    bench.runtime.advance(10 * Service);
    CHECK(bench.backend.ranRequests().count("r4") == 0);
    CHECK(bench.backend.ranCommands() == std::map<std::string, std::uint32_t>{{"invoice/k", 1}});
    CHECK(third->status() == 200);
    CHECK(bench.backend.busy() == 0);
}

TEST_CASE("A past deadline is refused as not run", "[fakes][backend]")
{
    Bench bench;
    CHECK(bench.search("late", 6, {{"x-deadline-ms", "0"}})->status() == 504);
    bench.search("r1");
    bench.search("r2");
    const auto queued = bench.search("queued", 6, {{"x-deadline-ms", "3"}});
    bench.runtime.advance(3 * Service);
    CHECK(queued->status() == 504);
    CHECK(bench.backend.ranRequests().size() == 2);
}

TEST_CASE("A stand-in server lies and fails as told", "[fakes][backend][faults]")
{
    Bench bench;
    ConductFaults conduct;
    SECTION("draining and telling of it")
    {
        const auto running = bench.search("r1");
        conduct.draining = true;
        bench.backend.setConduct(conduct);
        const auto refused = bench.search("r2");
        CHECK(refused->status() == 503);
        CHECK(refused->answer->headers["X-Draining"] == "1");
        CHECK(bench.ask("/health", Json())->json()["status"] == "draining");
        bench.runtime.advance(3 * Service);
        CHECK(running->answer->headers["X-Draining"] == "1");
        CHECK(bench.backend.counters().arrivedWhileDraining == 1);
    }
    SECTION("draining without a word while health claims all is well")
    {
        conduct.draining = true;
        conduct.drainTold = false;
        bench.backend.setConduct(conduct);
        const auto served = bench.search("r1");
        bench.runtime.advance(3 * Service);
        CHECK(served->status() == 200);
        CHECK(bench.ask("/health", Json())->json()["status"] == "ok");
        CHECK(bench.backend.counters().arrivedWhileDraining == 1);
    }
    SECTION("answering short, from another version, or from another shard")
    {
        conduct.shortBy = 2;
        conduct.wrongVersion = true;
        conduct.wrongShard = true;
        bench.backend.setConduct(conduct);
        const auto served = bench.search("r1");
        bench.runtime.advance(3 * Service);
        CHECK(served->json()["hits"].size() == 3);
        CHECK(served->json()["version"] == 7);
        CHECK(served->json()["shard"] == "s0-other");
    }
    SECTION("answering with the reply of another request")
    {
        bench.search("r1");
        bench.runtime.advance(3 * Service);
        conduct.crossed = true;
        bench.backend.setConduct(conduct);
        const auto served = bench.search("r2");
        bench.runtime.advance(3 * Service);
        CHECK(served->json()["requestId"] == "r1");
    }
    SECTION("a load endpoint that claims to be idle")
    {
        bench.search("r1");
        CHECK(bench.ask("/load", Json())->json()["busy"] == 1);
        conduct.load = Claimed::Good;
        bench.backend.setConduct(conduct);
        CHECK(bench.ask("/load", Json())->json()["busy"] == 0);
    }
}

TEST_CASE("The fault gate delays, drops, refuses and freezes as told", "[fakes][faults]")
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
    const auto ask = [&](const std::string &path) {
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
            CHECK(ask("/v3/kv/range")->delivery == Delivery::Whole);
            dropped.push_back(ask("/v3/kv/txn")->delivery == Delivery::Dropped);
        }
        CHECK(dropped == std::vector<bool>{false, true, false, true, false, false, false});
        CHECK(effects == 14);
    }
    SECTION("a fast error has no effect")
    {
        set(Json{{"error", 500}});
        CHECK(ask("/")->status() == 500);
        CHECK(effects == 0);
    }
    SECTION("a delay comes before the effect, a reply delay after it")
    {
        set(Json{{"delayMs", 5}, {"replyDelayMs", 5}});
        const auto answer = ask("/");
        runtime.advance(std::chrono::milliseconds(4));
        CHECK(effects == 0);
        runtime.advance(std::chrono::milliseconds(2));
        CHECK(effects == 1);
        CHECK(answer->status() == 0);
        runtime.advance(std::chrono::milliseconds(5));
        CHECK(answer->status() == 200);
    }
    SECTION("a freeze holds everything until it ends")
    {
        set(Json{{"frozen", true}});
        const auto answer = ask("/");
        CHECK(effects == 0);
        set(Json::object());
        CHECK(answer->status() == 200);
    }
    SECTION("a hang never answers, a refusal closes the port")
    {
        set(Json{{"outage", "hang"}});
        CHECK(ask("/")->status() == 0);
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
