#include <burdock/router/relaycodec.h>
#include <burdock/router/relayedstore.h>
#include <burdock/router/relayservice.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>
#include <optional>
#include <unistd.h>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

class Answer final : public HttpResponder
{
public:
    void respond(HttpServerResponse answer) override
    {
        CHECK(status == 0);
        status = answer.status;
        body = answer.body;
    }
    void sendChunk(const std::string &) override
    {
    }
    void finish() override
    {
    }
    void setDisconnectHandler(std::function<void()> callback) override
    {
        gone = std::move(callback);
    }

    int status = 0;
    std::string body;
    std::function<void()> gone;
};

struct Relaying
{
    ManualRuntime runtime;
    TimePoint confirmed = runtime.now();
    RelayService service{runtime, [this] { return confirmed; }};

    std::shared_ptr<Answer> poll(const std::string &after, const std::string &waitMs = "1000")
    {
        HttpServerRequest incoming;
        incoming.query = {{"prefix", "servers/"}, {"after", after}, {"waitMs", waitMs}};
        const auto answer = std::make_shared<Answer>();
        service.serve(incoming, answer);
        return answer;
    }
};

/// A client whose requests the test answers.
class HeldClient final : public HttpClient
{
public:
    HttpCallId send(HttpRequest request, Callback done) override
    {
        calls[++last_] = {std::move(request), std::move(done)};
        return last_;
    }
    void cancel(HttpCallId call) override
    {
        calls.erase(call);
    }
    void setLimits(const Address &, const ConnectionLimits &) override
    {
    }
    void closeIdle() override
    {
    }
    std::uint32_t openConnections(const Address &) const override
    {
        return 0;
    }

    void answer(Result<HttpResponse> response)
    {
        auto node = calls.extract(calls.begin());
        node.mapped().second(std::move(response));
    }

    std::map<HttpCallId, std::pair<HttpRequest, Callback>> calls;

private:
    HttpCallId last_ = 0;
};

/// A store of which only the watches matter.
class WatchedStore final : public Store
{
public:
    void range(const std::string &, bool, std::int64_t, Callback<StoreRange>) override
    {
        ++ranges;
    }
    void commit(StoreTransaction, Callback<StoreCommit>) override
    {
    }
    void grantLease(std::int64_t, Callback<std::int64_t>) override
    {
    }
    void keepLeaseAlive(std::int64_t, Callback<std::int64_t>) override
    {
    }
    void revokeLease(std::int64_t, Callback<std::int64_t>) override
    {
    }
    std::uint64_t
    watch(const std::string &, bool, std::int64_t from, std::function<void(const StoreEntry &)> changed, std::function<void(const Failure &)> ended) override
    {
        watches[++last_] = {from, std::move(changed), std::move(ended)};
        return last_;
    }
    void unwatch(std::uint64_t watch) override
    {
        watches.erase(watch);
    }

    struct Watching
    {
        std::int64_t from = 0;
        std::function<void(const StoreEntry &)> changed;
        std::function<void(const Failure &)> ended;
    };
    std::map<std::uint64_t, Watching> watches;
    int ranges = 0;

private:
    std::uint64_t last_ = 0;
};

struct Relayed
{
    Relayed()
    {
        std::vector<InstanceRecord> region;
        for (const char *id : {"a", "b", "c", "d", "e"}) {
            const Address peers{"10.0.0.1", static_cast<std::uint16_t>(9000 + id[0])};
            region.push_back({InstanceId(id), peers, peers, Region("home"), DataCentre("a"), true, 1, false});
        }
        relays.setInstances(region);
    }

    void watch(std::int64_t from)
    {
        // Past the first moments, in which a watch waits for relays.
        runtime.advance(seconds(2));
        store.watch(
            "servers/", true, from, [this](const StoreEntry &entry) { heard.push_back(entry.key); }, [this](const Failure &failure) { ended = failure.code; });
    }

    ManualRuntime runtime;
    HeldClient client;
    WatchedStore direct;
    RelayChoice relays{InstanceId("outsider")};
    DecisionLog log{runtime, STDERR_FILENO, "outsider"};
    RelayedStore store{runtime, client, direct, relays, "instances/", log};
    std::vector<std::string> heard;
    Errc ended = Errc::Ok;
};

const StoreEntry Change{"servers/p1", "v", 12, 0, false};

} // namespace

TEST_CASE("A relay tells of changes at once or when they come", "[relay]")
{
    Relaying bench;
    bench.service.listed("servers/", {{"servers/p0", "v", 7, 0, false}}, 10);
    SECTION("a change that the asker lacks is told at once")
    {
        bench.service.changed("servers/", Change);
        const auto answer = bench.poll("10");
        CHECK(answer->status == 200);
        CHECK(readChanges(answer->body)->front() == Change);
    }
    SECTION("a poll waits for a change under its prefix")
    {
        const auto answer = bench.poll("10");
        CHECK(answer->status == 0);
        bench.service.changed("instances/", {"instances/a", "v", 11, 0, false});
        CHECK(answer->status == 0);
        bench.service.changed("servers/", Change);
        CHECK(answer->status == 200);
        bench.runtime.advance(seconds(2));
    }
    SECTION("a poll that waits in vain ends empty")
    {
        const auto answer = bench.poll("10");
        bench.runtime.advance(milliseconds(1000));
        CHECK(answer->status == 200);
        CHECK(readChanges(answer->body)->empty());
    }
    SECTION("an asker whose changes are no longer kept is told so")
    {
        CHECK(bench.poll("9")->status == 410);
    }
    SECTION("bad input")
    {
        CHECK(bench.poll("x")->status == 400);
        CHECK(bench.poll("-3")->status == 400);
        CHECK(bench.poll("10", "")->status == 400);
    }
    SECTION("an asker that leaves is forgotten")
    {
        const auto answer = bench.poll("10");
        answer->gone();
        bench.service.changed("servers/", Change);
        bench.runtime.advance(seconds(2));
        CHECK(answer->status == 0);
    }
}

TEST_CASE("A relay that has not heard from the store tells nothing", "[relay]")
{
    Relaying bench;
    bench.service.listed("servers/", {{"servers/p0", "v", 7, 0, false}}, 10);
    const auto waiting = bench.poll("10", "5000");
    bench.runtime.advance(milliseconds(1700));
    bench.service.check();
    CHECK(waiting->status == 0);
    bench.runtime.advance(milliseconds(200));
    bench.service.check();
    CHECK(waiting->status == 503);
    CHECK(bench.poll("10")->status == 503);
    bench.confirmed = bench.runtime.now();
    CHECK(bench.poll("10")->status == 0);
}

TEST_CASE("A watch goes through the relay while that answers", "[relay]")
{
    Relayed bench;
    bench.watch(10);
    REQUIRE(bench.client.calls.size() == 1);
    CHECK(bench.direct.watches.empty());
    CHECK(bench.client.calls.begin()->second.first.path.find("after=10") != std::string::npos);
    bench.client.answer(HttpResponse{200, {}, writeChanges({Change})});
    CHECK(bench.heard == std::vector<std::string>{"servers/p1"});
    REQUIRE(bench.client.calls.size() == 1);
    CHECK(bench.client.calls.begin()->second.first.path.find("after=12") != std::string::npos);
}

TEST_CASE("A watch turns elsewhere when its relay fails, and goes on from where it was", "[relay]")
{
    Relayed bench;
    bench.watch(10);
    bench.client.answer(HttpResponse{200, {}, writeChanges({Change})});
    const Address first = bench.client.calls.begin()->second.first.address;
    SECTION("it does not answer")
    {
        bench.client.answer(mayHaveRun(Errc::DeadlineExceeded, "no answer"));
    }
    SECTION("it has not heard from the store")
    {
        bench.client.answer(HttpResponse{503, {}, ""});
    }
    SECTION("its answer is malformed")
    {
        bench.client.answer(HttpResponse{200, {}, "nonsense"});
    }
    REQUIRE(bench.client.calls.size() == 1);
    CHECK(bench.client.calls.begin()->second.first.address != first);
    bench.client.answer(HttpResponse{503, {}, ""});
    REQUIRE(bench.direct.watches.size() == 1);
    CHECK(bench.direct.watches.begin()->second.from == 12);
    bench.direct.watches.begin()->second.changed({"servers/p2", "v", 15, 0, false});
    CHECK(bench.heard.back() == "servers/p2");
    // After a while the relay is asked again.
    bench.runtime.advance(seconds(7));
    CHECK(bench.direct.watches.empty());
    REQUIRE(bench.client.calls.size() == 1);
    CHECK(bench.client.calls.begin()->second.first.path.find("after=15") != std::string::npos);
}

TEST_CASE("A watch ends where its relay no longer has the changes, so that a listing follows", "[relay]")
{
    Relayed bench;
    bench.watch(10);
    bench.client.answer(HttpResponse{410, {}, ""});
    CHECK(bench.ended == Errc::WrongVersion);
    CHECK(bench.direct.watches.empty());
    bench.store.range("servers/", true, 0, [](const Result<StoreRange> &) {});
    CHECK(bench.client.calls.size() == 1);
}

TEST_CASE("A listing comes from the relay, and from the store where that has none", "[relay]")
{
    Relayed bench;
    std::optional<Result<StoreRange>> listed;
    bench.store.range("servers/", true, 0, [&listed](Result<StoreRange> range) { listed = std::move(range); });
    REQUIRE(bench.client.calls.size() == 1);
    CHECK(bench.direct.ranges == 0);
    SECTION("the relay has it")
    {
        bench.client.answer(HttpResponse{200, {}, writeRange({{Change}, 12})});
        REQUIRE(listed);
        CHECK((*listed)->revision == 12);
        CHECK((*listed)->entries == std::vector<StoreEntry>{Change});
    }
    SECTION("the relay has heard nothing from the store")
    {
        bench.client.answer(HttpResponse{503, {}, ""});
        CHECK(bench.direct.ranges == 1);
    }
    SECTION("the relay does not answer")
    {
        bench.client.answer(mayHaveRun(Errc::DeadlineExceeded, "no answer"));
        CHECK(bench.direct.ranges == 1);
    }
    SECTION("its answer is malformed")
    {
        bench.client.answer(HttpResponse{200, {}, "nonsense"});
        CHECK(bench.direct.ranges == 1);
    }
}

TEST_CASE("A relay's listing holds what its changes made of it", "[relay]")
{
    Relaying bench;
    HttpServerRequest incoming;
    incoming.path = RelayService::EntriesPath;
    incoming.query = {{"prefix", "servers/"}};
    const auto ask = [&] {
        const auto answer = std::make_shared<Answer>();
        bench.service.serve(incoming, answer);
        return answer;
    };
    CHECK(ask()->status == 503);
    bench.service.listed("servers/", {{"servers/p0", "v", 7, 0, false}}, 10);
    bench.service.changed("servers/", Change);
    bench.service.changed("servers/", {"servers/p0", "", 15, 0, true});
    const auto answer = ask();
    REQUIRE(answer->status == 200);
    const auto range = readRange(answer->body);
    REQUIRE(range);
    CHECK(range->revision == 15);
    CHECK(range->entries == std::vector<StoreEntry>{Change});
    bench.runtime.advance(seconds(2));
    CHECK(ask()->status == 503);
}

TEST_CASE("Right after the start a watch waits a moment for relays to be known", "[relay][start]")
{
    Relayed bench;
    bench.relays.setInstances({});
    bench.store.watch(
        "servers/", true, 10, [](const StoreEntry &) {}, [](const Failure &) {});
    bench.store.watch(
        "instances/", true, 10, [](const StoreEntry &) {}, [](const Failure &) {});
    CHECK(bench.direct.watches.empty());
    bench.runtime.advance(milliseconds(500));
    CHECK(bench.direct.watches.size() == 1);
    bench.runtime.advance(milliseconds(600));
    CHECK(bench.direct.watches.size() == 2);
}

TEST_CASE("A watch at the store ends as the store says", "[relay]")
{
    Relayed bench;
    bench.relays.setInstances({});
    bench.watch(10);
    REQUIRE(bench.direct.watches.size() == 1);
    auto node = bench.direct.watches.extract(bench.direct.watches.begin());
    node.mapped().ended(Failure{Errc::WrongVersion, Verdict::NotRun, "compacted", Duration{0}});
    CHECK(bench.ended == Errc::WrongVersion);
    bench.runtime.advance(seconds(10));
    CHECK(bench.client.calls.empty());
}
