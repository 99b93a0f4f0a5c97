#include <burdock/policy/rankqueue.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <functional>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

/// A server that works off a RankQueue on the manual clock.
class QueueModel
{
public:
    QueueModel(const PerRank<double> &floors, std::uint32_t slots, const PerRank<Duration> &service)
        : queue_(floors)
        , slots_(slots)
        , service_(service)
    {
    }

    void submit(Rank rank, const std::string &caller = "caller", std::uint32_t share = 1, Duration budget = 10s)
    {
        const SubRequestId id{InstanceId("entry"), 1, ++number_};
        queue_.push({id, CallerId(caller), rank, share, runtime.now(), runtime.now() + budget}, runtime.now());
        waiting_[id] = {rank, caller, runtime.now()};
        drain();
    }

    /// Keeps so many sub-requests of the rank waiting from now on.
    void flood(Rank rank, std::size_t depth, const std::string &caller = "caller", std::uint32_t share = 1)
    {
        for (std::size_t i = 0; i < depth; ++i) {
            submit(rank, caller, share);
        }
        again_[{rank, caller}] = share;
    }

    double slotTime(Rank rank) const
    {
        return static_cast<double>(started[rankIndex(rank)]) * static_cast<double>(service_[rankIndex(rank)].count());
    }

    ManualRuntime runtime;
    PerRank<std::uint64_t> started{};
    PerRank<Duration> longestWait{};
    std::map<std::string, std::uint64_t> startedByCaller;
    std::function<void(Rank, Duration)> onStart;

private:
    struct Waiting
    {
        Rank rank;
        std::string caller;
        TimePoint since;
    };

    void drain()
    {
        while (const auto id = queue_.pop(slots_, runtime.now())) {
            start(waiting_.extract(*id).mapped());
        }
    }

    void start(const Waiting &work)
    {
        const std::size_t place = rankIndex(work.rank);
        const Duration waited = runtime.now() - work.since;
        ++started[place];
        ++startedByCaller[work.caller];
        longestWait[place] = std::max(longestWait[place], waited);
        if (onStart) {
            onStart(work.rank, waited);
        }
        runtime.schedule(service_[place], [this, work] { finish(work); });
    }

    void finish(const Waiting &work)
    {
        queue_.learnService(work.rank, service_[rankIndex(work.rank)]);
        queue_.release(work.rank, runtime.now());
        const auto again = again_.find({work.rank, work.caller});
        if (again != again_.end()) {
            submit(work.rank, work.caller, again->second);
        }
        drain();
    }

    RankQueue queue_;
    std::uint32_t slots_;
    PerRank<Duration> service_;
    std::map<SubRequestId, Waiting> waiting_;
    std::map<std::pair<Rank, std::string>, std::uint32_t> again_;
    std::uint64_t number_ = 0;
};

constexpr PerRank<Duration> EqualService{10ms, 10ms, 10ms};
/// Deep enough to be twenty times what four slots hold.
constexpr std::size_t FloodDepth = 80;

} // namespace

TEST_CASE("Every rank gets at least its floor of slot time under floods of the others", "[ranks][floors]")
{
    struct Case
    {
        const char *what;
        PerRank<double> floors;
        std::uint32_t slots;
        PerRank<Duration> service;
        std::vector<Rank> flooding;
        /// The part of the slot time that each rank gets.
        PerRank<double> expected;
    };
    const std::vector<Rank> all(AllRanks.begin(), AllRanks.end());
    const std::vector<Case> cases{
        {"floors that share out everything", {0.6, 0.2, 0.2}, 5, EqualService, all, {0.6, 0.2, 0.2}},
        {"what is left goes to the most urgent", {0.1, 0.1, 0.1}, 4, EqualService, all, {0.8, 0.1, 0.1}},
        {"a single slot", {0.5, 0.2, 0.1}, 1, EqualService, all, {0.7, 0.2, 0.1}},
        {"less than a slot", {0.5, 0.1, 0.05}, 6, EqualService, all, {0.85, 0.1, 0.05}},
        {"batch work that takes ten times as long", {0.5, 0.2, 0.2}, 5, {10ms, 10ms, 100ms}, all, {0.6, 0.2, 0.2}},
        {"urgent work that takes ten times as long", {0.5, 0.2, 0.2}, 5, {100ms, 10ms, 10ms}, all, {0.6, 0.2, 0.2}},
        {"without floors the most urgent take all", {0, 0, 0}, 4, EqualService, all, {1, 0, 0}},
        {"idle ranks leave their floors to the others", {0.6, 0.2, 0.2}, 5, EqualService, {Rank::Batch}, {0, 0, 1}},
        {"one idle rank leaves its floor", {0.4, 0.3, 0.3}, 4, EqualService, {Rank::Interactive, Rank::Batch}, {0, 0.7, 0.3}},
    };
    for (const Case &given : cases) {
        DYNAMIC_SECTION(given.what)
        {
            QueueModel model(given.floors, given.slots, given.service);
            for (const Rank rank : given.flooding) {
                model.flood(rank, FloodDepth);
            }
            const Duration span = 10s;
            model.runtime.advance(span);
            const double whole = static_cast<double>(span.count()) * given.slots;
            // Work that runs is not interrupted: a rank may wait for a few of the longest services at the start.
            const Duration longest = *std::max_element(given.service.begin(), given.service.end());
            const double rounding = 3.0 * static_cast<double>(longest.count());
            for (const Rank rank : AllRanks) {
                INFO(rankName(rank));
                const double expected = given.expected[rankIndex(rank)] * whole;
                CHECK(std::abs(model.slotTime(rank) - expected) <= rounding + 0.02 * whole);
                const bool flooding = std::count(given.flooding.begin(), given.flooding.end(), rank) > 0;
                CHECK((!flooding || model.slotTime(rank) >= given.floors[rankIndex(rank)] * whole - rounding));
            }
        }
    }
}

TEST_CASE("No rank inversion lasts longer than one service time", "[ranks][inversion]")
{
    const std::uint32_t slots = GENERATE(1U, 4U, 6U);
    const Rank flooding = GENERATE(Rank::Interactive, Rank::Batch);
    INFO("slots " << slots << " flood of " << rankName(flooding));
    QueueModel model({0.5, 0.25, 0.25}, slots, EqualService);
    model.flood(flooding, 20 * std::size_t{slots});
    model.runtime.advance(1s);
    for (int i = 0; i < 200; ++i) {
        model.submit(Rank::Urgent);
        model.runtime.advance(29ms);
    }
    CHECK(model.started[rankIndex(Rank::Urgent)] == 200);
    CHECK(model.longestWait[rankIndex(Rank::Urgent)] <= 10ms);
}

TEST_CASE("A burst of urgent work passes a flood that has had its floor", "[ranks][inversion]")
{
    QueueModel model({0.5, 0.25, 0.25}, 4, EqualService);
    model.flood(Rank::Batch, FloodDepth);
    model.runtime.advance(1s);
    std::vector<Rank> order;
    model.onStart = [&order](Rank rank, Duration) { order.push_back(rank); };
    for (int i = 0; i < 4; ++i) {
        model.submit(Rank::Urgent);
    }
    model.runtime.advance(10ms);
    REQUIRE(order.size() >= 4);
    order.resize(4);
    CHECK(order == std::vector<Rank>(4, Rank::Urgent));
}

TEST_CASE("A rank that had idle slots before has its floor at once when another floods", "[ranks][floors]")
{
    QueueModel model({0.25, 0.25, 0.25}, 4, EqualService);
    model.flood(Rank::Batch, FloodDepth);
    model.runtime.advance(100s);
    const std::uint64_t before = model.started[rankIndex(Rank::Batch)];
    model.flood(Rank::Urgent, FloodDepth);
    model.runtime.advance(1s);
    CHECK(model.started[rankIndex(Rank::Batch)] - before >= 97);
}

TEST_CASE("Callers of a rank share it by their weights", "[ranks][fairshare]")
{
    QueueModel model({0, 0, 0}, 4, EqualService);
    model.flood(Rank::Batch, 200, "heavy", 1);
    model.flood(Rank::Batch, 40, "weighted", 3);
    model.runtime.advance(10s);
    const double ratio = static_cast<double>(model.startedByCaller["weighted"]) / static_cast<double>(model.startedByCaller["heavy"]);
    CHECK(ratio == Approx(3).epsilon(0.05));

    SECTION("and one that asks little is not held up by one that floods")
    {
        Duration longest{0};
        model.onStart = [&](Rank rank, Duration waited) { longest = rank == Rank::Batch && waited > longest && waited < 30ms ? waited : longest; };
        const std::uint64_t before = model.startedByCaller["light"];
        for (int i = 0; i < 50; ++i) {
            model.submit(Rank::Batch, "light");
            model.runtime.advance(20ms);
        }
        CHECK(model.startedByCaller["light"] - before >= 49);
    }
}

TEST_CASE("Within a caller short waits pass long ones, but none for ever", "[ranks][aging]")
{
    QueueModel model({0, 0, 0}, 1, EqualService);
    Duration patientWaited{0};
    model.submit(Rank::Batch, "caller", 1, 1s);
    model.submit(Rank::Batch, "caller", 1, 4s);
    const TimePoint begun = model.runtime.now();
    for (int i = 0; i < 1000; ++i) {
        model.submit(Rank::Batch, "caller", 1, 100ms);
        if (i == 0) {
            model.onStart = [&](Rank, Duration waited) { patientWaited = std::max(patientWaited, waited); };
        }
        model.runtime.advance(10ms);
    }
    CHECK(model.runtime.now() - begun == 10s);
    CHECK(patientWaited > 1s);
    CHECK(patientWaited < 2100ms);
}

TEST_CASE("The estimated wait is that of the caller's own place in line", "[ranks][estimate]")
{
    RankQueue queue({0.5, 0.25, 0.25});
    const TimePoint now{};
    for (int i = 0; i < 100; ++i) {
        queue.learnService(Rank::Batch, 10ms);
    }
    for (std::uint64_t i = 0; i < 104; ++i) {
        queue.push({SubRequestId{InstanceId("entry"), 1, i}, CallerId("heavy"), Rank::Batch, 1, now, now + 10s}, now);
    }
    while (queue.pop(4, now)) { }
    CHECK(queue.estimatedWait(Rank::Batch, CallerId("heavy"), 1, 4) >= 250ms);
    CHECK(queue.estimatedWait(Rank::Batch, CallerId("light"), 1, 4) <= 10ms);
    CHECK(queue.estimatedWait(Rank::Urgent, CallerId("heavy"), 1, 4) <= 10ms);
    CHECK(queue.queueDelay(Rank::Batch, 4) >= 250ms);
    CHECK(queue.queueDelay(Rank::Batch, 2) >= 500ms);
}
