#include "holderbackend.h"

#include <burdock/policy/holder.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

const ServerId TheServer("server-1");

/// A holder of one server with four slots and floors of 0.5, 0.25 and 0.25.
struct HolderFixture
{
    HolderFixture()
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->fleets[FleetName("desk")] = FleetDeclaration{FleetName("desk"), 4, 40, 6ms, {0.5, 0.25, 0.25}};
        IndexDeclaration index{IndexName("parts"), FleetName("desk"), {}, {}};
        index.callers[CallerId("large")] = CallerRule{CallerId("large"), Rank::Batch, 1s, 1, false, 3};
        index.callers[CallerId("small")] = CallerRule{CallerId("small"), Rank::Batch, 1s, 1, false, 1};
        configuration->indexes[IndexName("parts")] = index;
        holder.configure(configuration);
    }

    SubRequest request(Rank rank, Duration budget, const std::string &caller = "caller")
    {
        SubRequest request;
        request.id = SubRequestId{InstanceId("entry"), 1, ++number};
        request.caller = CallerId(caller);
        request.rank = rank;
        request.fleet = FleetName("desk");
        request.server = TheServer;
        request.budget = budget;
        request.snapshot.index = IndexName("parts");
        return request;
    }

    SubRequestId submit(Rank rank, Duration budget, const std::string &caller = "caller")
    {
        const SubRequest sent = request(rank, budget, caller);
        holder.submit(sent, [this](const SubReply &reply) { replies.push_back(reply); });
        return sent.id;
    }

    /// Runs requests until the slot limit has reached the declared slots and the service time is known.
    void warmUp()
    {
        for (int round = 0; round < 40; ++round) {
            for (int i = 0; i < 4; ++i) {
                submit(Rank::Urgent, 1s);
            }
            runtime.advance(40ms);
        }
        replies.clear();
        backend.dispatches.clear();
    }

    std::size_t answered(Errc code, Verdict verdict) const
    {
        return static_cast<std::size_t>(
            std::count_if(replies.begin(), replies.end(), [&](const SubReply &reply) { return reply.code == code && reply.verdict == verdict; }));
    }

    ManualRuntime runtime;
    ModelBackend backend{runtime};
    Holder holder{runtime, backend};
    std::vector<SubReply> replies;
    std::uint64_t number = 0;
};

} // namespace

TEST_CASE_METHOD(HolderFixture, "A holder never exceeds the declared slots of a server", "[holder]")
{
    warmUp();
    for (int i = 0; i < 40; ++i) {
        submit(Rank::Interactive, 10s);
    }
    CHECK(backend.busy(TheServer) == 4);
    for (int i = 0; i < 200; ++i) {
        runtime.advance(1ms);
        CHECK(backend.busy(TheServer) <= 4);
    }
    CHECK(answered(Errc::Ok, Verdict::Ran) == 40);
    CHECK(holder.inFlight() == 0);
}

TEST_CASE_METHOD(HolderFixture, "Every sub-request is answered once with the correct verdict, never from within submit", "[holder]")
{
    struct Case
    {
        const char *what;
        ModelServer::Mode mode;
        Duration budget;
        Errc code;
        Verdict verdict;
        std::size_t dispatched;
    };
    const std::vector<Case> cases{
        {"a server that answers", ModelServer::Mode::Answers, 1s, Errc::Ok, Verdict::Ran, 1},
        {"no time left on arrival", ModelServer::Mode::Answers, 0ms, Errc::DeadlineExceeded, Verdict::NotRun, 0},
        {"a server that does not answer", ModelServer::Mode::Silent, 50ms, Errc::DeadlineExceeded, Verdict::MayHaveRun, 1},
        {"a server that closes the connection", ModelServer::Mode::FailsAtOnce, 1s, Errc::ConnectionLost, Verdict::MayHaveRun, 1},
        {"a draining server", ModelServer::Mode::Drains, 1s, Errc::Draining, Verdict::NotRun, 1},
    };
    for (const Case &fault : cases) {
        DYNAMIC_SECTION(fault.what)
        {
            backend.servers[TheServer].mode = fault.mode;
            submit(Rank::Urgent, fault.budget);
            CHECK(replies.empty());
            runtime.advance(2s);
            REQUIRE(replies.size() == 1);
            CHECK(replies[0].code == fault.code);
            CHECK(replies[0].verdict == fault.verdict);
            CHECK(replies[0].report.server == TheServer);
            CHECK(backend.dispatches.size() == fault.dispatched);
            CHECK(holder.counters().dispatched[rankIndex(Rank::Urgent)] == fault.dispatched);
            CHECK(holder.counters().refused[rankIndex(Rank::Urgent)] == 1 - fault.dispatched);
            CHECK(holder.inFlight() == 0);
        }
    }
}

TEST_CASE_METHOD(HolderFixture, "A request that cannot meet its deadline is refused immediately and not sent", "[holder][deadline]")
{
    warmUp();
    for (int i = 0; i < 40; ++i) {
        submit(Rank::Urgent, 10s);
    }
    const std::size_t sent = backend.dispatches.size();
    submit(Rank::Urgent, 50ms);
    runtime.advance(0ms);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].code == Errc::DeadlineExceeded);
    CHECK(replies[0].verdict == Verdict::NotRun);
    CHECK(replies[0].retryAfter > 50ms);
    CHECK(backend.dispatches.size() == sent);

    SECTION("a request that can meet it is answered in time")
    {
        submit(Rank::Urgent, 200ms);
        runtime.advance(200ms);
        CHECK(answered(Errc::DeadlineExceeded, Verdict::NotRun) == 1);
        CHECK(answered(Errc::Ok, Verdict::Ran) == 41);
    }
}

TEST_CASE_METHOD(HolderFixture, "A request whose deadline passes in the queue is refused and never sent", "[holder][deadline]")
{
    backend.servers[TheServer].mode = ModelServer::Mode::Silent;
    for (int i = 0; i < 4; ++i) {
        submit(Rank::Urgent, 1s);
    }
    const SubRequestId late = submit(Rank::Urgent, 30ms);
    runtime.advance(30ms);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].id == late);
    CHECK(replies[0].code == Errc::DeadlineExceeded);
    CHECK(replies[0].verdict == Verdict::NotRun);
    runtime.advance(2s);
    CHECK(std::none_of(backend.dispatches.begin(), backend.dispatches.end(), [&](const ModelDispatch &sent) { return sent.request.id == late; }));
}

TEST_CASE_METHOD(HolderFixture, "Requests waiting for a draining server are refused", "[holder][draining]")
{
    warmUp();
    for (int i = 0; i < 10; ++i) {
        submit(Rank::Interactive, 1s);
    }
    SECTION("draining by the list")
    {
        holder.setDraining(TheServer, true);
    }
    SECTION("draining by its own reply")
    {
        backend.servers[TheServer].mode = ModelServer::Mode::Drains;
        runtime.advance(10ms);
    }
    const std::size_t sent = backend.dispatches.size();
    runtime.advance(1s);
    submit(Rank::Urgent, 1s);
    runtime.advance(1s);
    CHECK(replies.size() == 11);
    CHECK(answered(Errc::Ok, Verdict::Ran) == 4);
    CHECK(answered(Errc::Draining, Verdict::NotRun) >= 3);
    CHECK(backend.dispatches.size() <= sent + 4);
    CHECK(holder.reports().at(0).draining);
}

TEST_CASE_METHOD(HolderFixture, "A cancelled sub-request releases its slot and is not answered", "[holder][cancel]")
{
    backend.servers[TheServer].mode = ModelServer::Mode::Silent;
    const SubRequestId running = submit(Rank::Urgent, 1s);
    submit(Rank::Urgent, 1s);
    const SubRequestId waiting = submit(Rank::Urgent, 1s);
    const SubRequestId next = submit(Rank::Urgent, 1s);
    CHECK(backend.dispatches.size() == 2);
    holder.cancel(waiting);
    holder.cancel(running);
    CHECK(backend.cancelled == 1);
    CHECK(backend.dispatches.size() == 3);
    CHECK(backend.dispatches.back().request.id == next);
    runtime.advance(2s);
    CHECK(replies.size() == 2);
    CHECK(holder.inFlight() == 0);
}

TEST_CASE_METHOD(HolderFixture, "Queue delays by rank are reported a few times per second", "[holder][report]")
{
    warmUp();
    std::vector<ServerReport> published;
    holder.onReport([&published](const ServerReport &report) { published.push_back(report); });
    for (int i = 0; i < 400; ++i) {
        submit(Rank::Batch, 10s);
    }
    runtime.advance(1s);
    REQUIRE_FALSE(published.empty());
    CHECK(published.size() <= 5);
    CHECK(published.front().queueDelay[rankIndex(Rank::Batch)] > 500ms);
    CHECK(published.front().queueDelay[rankIndex(Rank::Urgent)] < 10ms);
}

TEST_CASE_METHOD(HolderFixture, "Connections exhausted by other clients lower the slot limit without an ejection", "[holder][slots]")
{
    warmUp();
    for (int i = 0; i < 3; ++i) {
        submit(Rank::Urgent, 1s);
    }
    backend.servers[TheServer].mode = ModelServer::Mode::Unreachable;
    submit(Rank::Urgent, 1s);
    runtime.advance(1ms);
    CHECK(answered(Errc::Unavailable, Verdict::NotRun) == 1);
    backend.servers[TheServer].mode = ModelServer::Mode::Answers;
    runtime.advance(20ms);
    replies.clear();
    for (int i = 0; i < 10; ++i) {
        submit(Rank::Urgent, 1s);
    }
    CHECK(backend.busy(TheServer) == 2);
    CHECK_FALSE(holder.reports().at(0).ejected);
}

TEST_CASE_METHOD(HolderFixture, "A fast failing server is ejected and its failures do not lower the service time", "[holder][ejection]")
{
    warmUp();
    backend.servers[TheServer].mode = ModelServer::Mode::FailsAtOnce;
    for (int i = 0; i < 40; ++i) {
        submit(Rank::Urgent, 1s);
        runtime.advance(1ms);
    }
    CHECK(holder.reports().at(0).ejected);
    backend.servers[TheServer].mode = ModelServer::Mode::Answers;
    for (int i = 0; i < 40; ++i) {
        submit(Rank::Urgent, 10s);
    }
    CHECK(holder.reports().at(0).queueDelay[rankIndex(Rank::Urgent)] >= 90ms);
    runtime.advance(5s);
    CHECK_FALSE(holder.reports().at(0).ejected);
}
