#include "rawsocket.h"

#include <burdock/values/manualruntime.h>
#include <burdock/wire/factories.h>
#include <burdock/wire/memorybudget.h>

#include <catch2/catch.hpp>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint Start{1h};

MemoryTerms smallTerms()
{
    MemoryTerms terms;
    terms.limit = 1000000;
    return terms;
}

/// A client that sends a body, of which `remaining` bytes have not come, and last made progress so long ago.
MemoryUse receiving(std::size_t bytes, std::size_t remaining, Duration sinceProgress = 0s)
{
    MemoryUse use;
    use.bytes = bytes;
    use.remaining = remaining;
    use.since = Start - 1s;
    use.progressAt = Start - sinceProgress;
    use.isReceiving = true;
    use.awaitsClient = true;
    return use;
}

MemoryUse paused(std::size_t bytes, Duration pausedFor, bool hasUnread)
{
    MemoryUse use = receiving(bytes, 100000, pausedFor);
    use.isPaused = true;
    use.pausedAt = Start - pausedFor;
    use.hasUnread = hasUnread;
    return use;
}

using Indexes = std::vector<std::size_t>;

/// A connection that does what the budget tells it.
struct FakeHolder final : MemoryBudget::Holder
{
    MemoryUse memoryUse(TimePoint) override
    {
        return use;
    }
    void pauseReading(TimePoint now) override
    {
        use.isPaused = true;
        use.pausedAt = now;
    }
    void resumeReading() override
    {
        use.isPaused = false;
    }
    void closeForMemory() override
    {
        isClosed = true;
    }
    MemoryUse use;
    bool isClosed = false;
};

struct FakeServer final : MemoryBudget::Member
{
    void addHolders(std::vector<MemoryBudget::Holder *> &all) override
    {
        for (FakeHolder &holder : holders) {
            all.push_back(&holder);
        }
    }
    bool contains(const MemoryBudget::Holder *) const override
    {
        return true;
    }
    std::vector<FakeHolder> holders;
};

constexpr Duration TestTimeout = 5s;

/// A server whose budget has room for so many bytes.
struct SmallServer
{
    explicit SmallServer(std::size_t limit)
        : memory(std::make_shared<MemoryBudget>(loop, MemoryTerms{limit, 1024, 200ms}))
        , server(makeHttpServer(loop, {}, nullptr, memory))
        , port(server->listen({"127.0.0.1", 0}).value().port)
    {
        server->setHandler([this](const HttpServerRequest &request, const std::shared_ptr<HttpResponder> &responder) {
            ++handled;
            responder->respond({200, {}, "served " + std::to_string(request.body.size())});
        });
    }

    bool answers(RawSocket &socket, const std::string &text)
    {
        return loop.runUntil([&] { return socket.received.find(text) != std::string::npos; }, TestTimeout);
    }

    EventLoop loop;
    std::shared_ptr<MemoryBudget> memory;
    std::unique_ptr<HttpServer> server;
    std::uint16_t port;
    int handled = 0;
};

std::string post(std::size_t length, std::size_t sent)
{
    return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + std::string(sent, 'b');
}

} // namespace

TEST_CASE("a memory budget counts what its holds take and gives it back when they end", "[memory]")
{
    ManualRuntime runtime;
    MemoryBudget budget(runtime, smallTerms());
    {
        MemoryHold first(budget);
        MemoryHold second(budget);
        first.set(300000);
        second.set(100000);
        first.set(200000);
        CHECK(budget.held() == 300000);
        CHECK(budget.counters().peak == 400000);
        CHECK(budget.fits(700000));
        CHECK_FALSE(budget.tryTake(700001));
    }
    CHECK(budget.held() == 0);
    CHECK(runtime.pending() == 0);
}

TEST_CASE("a memory budget does nothing while it is calm", "[memory]")
{
    const std::vector<MemoryUse> uses{receiving(300000, 900000, 60s), receiving(100000, 900000, 60s)};
    const MemoryRelief relief = planRelief(uses, 400000, smallTerms(), Start);
    CHECK(relief.paused.empty());
    CHECK(relief.closed.empty());
}

TEST_CASE("connections that hold most for longest are paused until the rest has room", "[memory]")
{
    std::vector<MemoryUse> uses{receiving(100000, 100000), receiving(200000, 100000), receiving(200000, 100000), receiving(50000, 100000)};
    uses[2].since = Start - 9s;
    // Room is left for 350,000 of the 400,000 bytes that may still come.
    CHECK(planRelief(uses, 550000, smallTerms(), Start).paused == Indexes{2});
    CHECK(planRelief(uses, 700000, smallTerms(), Start).paused == Indexes{2, 1});
    CHECK(planRelief(uses, 550000, smallTerms(), Start).closed.empty());
}

TEST_CASE("connections without progress are closed, the longest first, only once bodies are refused", "[memory]")
{
    const std::vector<MemoryUse> uses{receiving(200000, 100, 3s), receiving(200000, 100, 8s), receiving(200000, 100, 1s), receiving(200000, 100, 5s)};
    CHECK(planRelief(uses, 740000, smallTerms(), Start).closed.empty());
    CHECK(planRelief(uses, 800000, smallTerms(), Start).closed == Indexes{1, 3});
}

TEST_CASE("a client that does not read its response is closed, and one whose request is in progress is not", "[memory]")
{
    MemoryUse reader;
    reader.bytes = 400000;
    reader.progressAt = Start - 9s;
    reader.awaitsClient = true;
    MemoryUse inProgress = reader;
    inProgress.awaitsClient = false;
    CHECK(planRelief({inProgress, reader}, 950000, smallTerms(), Start).closed == Indexes{1});
}

TEST_CASE("a paused client that has sent more is closed only while memory is exhausted, after those that stopped", "[memory]")
{
    const std::vector<MemoryUse> uses{paused(400000, 9s, true), paused(400000, 5s, false)};
    CHECK(planRelief(uses, 800000, smallTerms(), Start).closed == Indexes{1});
    CHECK(planRelief(uses, 950000, smallTerms(), Start).closed == Indexes{1, 0});
}

TEST_CASE("paused clients are resumed, the longest paused first, as far as there is room, and one at least", "[memory]")
{
    const std::vector<MemoryUse> uses{paused(10000, 1s, true), paused(10000, 3s, true), paused(10000, 2s, true)};
    CHECK(planRelief(uses, 30000, smallTerms(), Start).resumed == Indexes{1, 2, 0});
    CHECK(planRelief(uses, 690000, smallTerms(), Start).resumed == Indexes{1, 2});
    CHECK(planRelief(uses, 880000, smallTerms(), Start).resumed == Indexes{1});
}

TEST_CASE("a body may begin while there is room, and a single one always", "[memory]")
{
    ManualRuntime runtime;
    MemoryBudget budget(runtime, smallTerms());
    CHECK(budget.admitsBody(900000));
    budget.take(400000);
    CHECK(budget.admitsBody(300000));
    CHECK_FALSE(budget.admitsBody(400000));
    budget.take(350000);
    CHECK_FALSE(budget.admitsBody(0));
}

TEST_CASE("a text is in the budget once, until its last owner is gone", "[memory]")
{
    ManualRuntime runtime;
    const auto budget = std::make_shared<MemoryBudget>(runtime, smallTerms());
    SharedText first = heldIn(budget, std::string(1000, 'x'));
    const std::size_t held = budget->held();
    CHECK(held >= 1000);
    SharedText second = first;
    CHECK(budget->held() == held);
    first = {};
    CHECK(budget->held() == held);
    CHECK(second == std::string(1000, 'x'));
    second = {};
    CHECK(budget->held() == 0);
    CHECK(heldIn(budget, {}).empty());
}

TEST_CASE("a text may outlive its budget", "[memory]")
{
    ManualRuntime runtime;
    auto budget = std::make_shared<MemoryBudget>(runtime, smallTerms());
    const SharedText text = heldIn(budget, std::string(1000, 'x'));
    budget.reset();
    CHECK(text.size() == 1000);
}

TEST_CASE("many responses that are not long cannot exceed the limit by more than a part of it", "[memory]")
{
    constexpr std::size_t Limit = 1000000;
    ManualRuntime runtime;
    MemoryBudget budget(runtime, MemoryTerms{Limit, 1024, 2s});
    CHECK(budget.admitsArrival(0, 100000));
    budget.take(Limit);
    CHECK_FALSE(budget.admitsArrival(60000, 10000));
    CHECK(budget.admitsArrival(0, 60000));
    budget.take(Limit / 8);
    CHECK_FALSE(budget.admitsArrival(0, 60000));
    CHECK(budget.admitsArrival(0, 1000));
}

TEST_CASE("a budget above the calm level relieves itself until it is calm", "[memory]")
{
    ManualRuntime runtime;
    MemoryBudget budget(runtime, smallTerms());
    FakeServer server;
    server.holders.resize(2);
    server.holders[0].use = receiving(500000, 400000);
    server.holders[1].use = receiving(100000, 10000);
    budget.add(server);
    std::vector<MemoryLevel> levels;
    budget.setLevelHandler([&](MemoryLevel, MemoryLevel now) { levels.push_back(now); });
    budget.take(600000);
    runtime.advance(1ms);
    CHECK(server.holders[0].use.isPaused);
    CHECK_FALSE(server.holders[1].use.isPaused);
    budget.giveBack(600000);
    server.holders[0].use.bytes = 0;
    server.holders[1].use.bytes = 0;
    runtime.advance(1s);
    CHECK_FALSE(server.holders[0].use.isPaused);
    CHECK(levels == std::vector<MemoryLevel>{MemoryLevel::Pausing, MemoryLevel::Calm});
    CHECK(runtime.pending() == 0);
    budget.remove(server);
}

TEST_CASE("a body is refused before it is read while memory is short, and a client that stopped makes room for it", "[memory][http][server]")
{
    constexpr std::size_t Length = 100000;
    SmallServer small(200000);
    RawSocket first(small.loop, small.port);
    RawSocket second(small.loop, small.port);
    first.send(post(Length, Length - 10));
    second.send(post(Length, Length - 10));
    REQUIRE(small.loop.runUntil([&] { return small.memory->level() >= MemoryLevel::Refusing; }, TestTimeout));
    RawSocket third(small.loop, small.port);
    third.send("POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 100000\r\n\r\n");
    REQUIRE(small.answers(third, "503"));
    CHECK(third.received.find("Retry-After: 1") != std::string::npos);
    CHECK(third.received.find("notRun") != std::string::npos);
    CHECK(third.received.find("100 Continue") == std::string::npos);
    CHECK(small.handled == 0);
    CHECK(small.loop.runUntil([&] { return first.closedByPeer || second.closedByPeer; }, TestTimeout));
    RawSocket fourth(small.loop, small.port);
    fourth.send(post(1000, 1000));
    CHECK(small.answers(fourth, "served 1000"));
}

TEST_CASE("a single body at the limit is served in calm however it is framed", "[memory][http][server]")
{
    constexpr std::size_t Length = 1048576;
    SmallServer small(std::size_t{16} << 20);
    RawSocket counted(small.loop, small.port);
    counted.send(post(Length, Length));
    CHECK(small.answers(counted, "served 1048576"));
    RawSocket chunked(small.loop, small.port);
    std::string body = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int index = 0; index < 10000; ++index) {
        body += "1\r\nc\r\n";
    }
    chunked.send(body + "0\r\n\r\n");
    CHECK(small.answers(chunked, "served 10000"));
    CHECK(small.loop.runUntil([&] { return small.memory->held() == 0; }, TestTimeout));
    CHECK(small.memory->counters().paused == 0);
}
