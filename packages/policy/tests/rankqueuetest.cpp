#include <burdock/policy/rankqueue.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <functional>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

/// Simulates a server that serves the requests of a RankQueue, on the manual clock.
class QueueModel
{
public:
    QueueModel(const PerRank<double> &reservedFractions, std::uint32_t slots, const PerRank<Duration> &service)
        : queue_(reservedFractions)
        , slots_(slots)
        , service_(service)
    {
    }

    void submit(Rank rank, const std::string &caller = "caller", std::uint32_t weight = 1, Duration budget = 10s)
    {
        const SubRequestId id{InstanceId("entry"), 1, ++lastNumber_};
        queue_.push({id, CallerId(caller), rank, weight, runtime.now(), runtime.now() + budget}, runtime.now());
        waiting_[id] = {rank, caller, runtime.now()};
        drain();
    }

    /// Submits `depth` sub-requests and from then on replaces each one that finishes.
    void flood(Rank rank, std::size_t depth, const std::string &caller = "caller", std::uint32_t weight = 1)
    {
        for (std::size_t i = 0; i < depth; ++i) {
            submit(rank, caller, weight);
        }
        resubmit_[{rank, caller}] = weight;
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
        const std::size_t index = rankIndex(work.rank);
        const Duration waited = runtime.now() - work.since;
        ++started[index];
        ++startedByCaller[work.caller];
        longestWait[index] = std::max(longestWait[index], waited);
        if (onStart) {
            onStart(work.rank, waited);
        }
        runtime.schedule(service_[index], [this, work] { finish(work); });
    }

    void finish(const Waiting &work)
    {
        queue_.recordServiceTime(work.rank, service_[rankIndex(work.rank)]);
        queue_.release(work.rank, runtime.now());
        const auto resubmit = resubmit_.find({work.rank, work.caller});
        if (resubmit != resubmit_.end()) {
            submit(work.rank, work.caller, resubmit->second);
        }
        drain();
    }

    RankQueue queue_;
    std::uint32_t slots_;
    PerRank<Duration> service_;
    std::map<SubRequestId, Waiting> waiting_;
    std::map<std::pair<Rank, std::string>, std::uint32_t> resubmit_;
    std::uint64_t lastNumber_ = 0;
};

constexpr PerRank<Duration> EqualService{10ms, 10ms, 10ms};
/// Twenty times as many requests as four slots hold.
constexpr std::size_t FloodDepth = 80;

} // namespace

TEST_CASE("Every rank gets at least its reserved slot time when other ranks flood the server", "[ranks][reserved]")
{
    struct Case
    {
        const char *what;
        PerRank<double> reservedFractions;
        std::uint32_t slots;
        PerRank<Duration> service;
        std::vector<Rank> flooding;
        /// The fraction of the slot time that each rank gets.
        PerRank<double> expected;
    };
    const std::vector<Rank> all(AllRanks.begin(), AllRanks.end());
    const std::vector<Case> cases{
        {"reserved fractions that add up to one", {0.6, 0.2, 0.2}, 5, EqualService, all, {0.6, 0.2, 0.2}},
        {"unreserved slots go to the most urgent rank", {0.1, 0.1, 0.1}, 4, EqualService, all, {0.8, 0.1, 0.1}},
        {"a single slot", {0.5, 0.2, 0.1}, 1, EqualService, all, {0.7, 0.2, 0.1}},
        {"a reserved fraction below one slot", {0.5, 0.1, 0.05}, 6, EqualService, all, {0.85, 0.1, 0.05}},
        {"batch requests that take ten times as long", {0.5, 0.2, 0.2}, 5, {10ms, 10ms, 100ms}, all, {0.6, 0.2, 0.2}},
        {"urgent requests that take ten times as long", {0.5, 0.2, 0.2}, 5, {100ms, 10ms, 10ms}, all, {0.6, 0.2, 0.2}},
        {"without reserved fractions the most urgent rank gets all slots", {0, 0, 0}, 4, EqualService, all, {1, 0, 0}},
        {"reserved slots of idle ranks go to the others", {0.6, 0.2, 0.2}, 5, EqualService, {Rank::Batch}, {0, 0, 1}},
        {"reserved slots of one idle rank go to the most urgent other rank", {0.4, 0.3, 0.3}, 4, EqualService, {Rank::Interactive, Rank::Batch}, {0, 0.7, 0.3}},
    };
    for (const Case &given : cases) {
        DYNAMIC_SECTION(given.what)
        {
            QueueModel model(given.reservedFractions, given.slots, given.service);
            for (const Rank rank : given.flooding) {
                model.flood(rank, FloodDepth);
            }
            const Duration span = 10s;
            model.runtime.advance(span);
            const double totalSlotTime = static_cast<double>(span.count()) * given.slots;
            // Running requests are not interrupted, so a rank may first wait for a few of the longest service times.
            const Duration longest = *std::max_element(given.service.begin(), given.service.end());
            const double rounding = 3.0 * static_cast<double>(longest.count());
            for (const Rank rank : AllRanks) {
                INFO(rankName(rank));
                const double expected = given.expected[rankIndex(rank)] * totalSlotTime;
                CHECK(std::abs(model.slotTime(rank) - expected) <= rounding + 0.02 * totalSlotTime);
                const bool flooding = std::count(given.flooding.begin(), given.flooding.end(), rank) > 0;
                CHECK((!flooding || model.slotTime(rank) >= given.reservedFractions[rankIndex(rank)] * totalSlotTime - rounding));
            }
        }
    }
}

TEST_CASE("No rank inversion lasts longer than one service time", "[ranks][inversion]")
{
    const std::uint32_t slots = GENERATE(1U, 4U, 6U);
    const Rank flooding = GENERATE(Rank::Interactive, Rank::Batch);
    INFO("slots " << slots << ", flooding rank " << rankName(flooding));
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

TEST_CASE("A burst of urgent requests overtakes a flood that has used its reserved slots", "[ranks][inversion]")
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

TEST_CASE("A rank that used idle slots gets its reserved slots at once when another rank floods", "[ranks][reserved]")
{
    QueueModel model({0.25, 0.25, 0.25}, 4, EqualService);
    model.flood(Rank::Batch, FloodDepth);
    model.runtime.advance(100s);
    const std::uint64_t before = model.started[rankIndex(Rank::Batch)];
    model.flood(Rank::Urgent, FloodDepth);
    model.runtime.advance(1s);
    CHECK(model.started[rankIndex(Rank::Batch)] - before >= 97);
}

TEST_CASE("Callers share the slots of a rank by weight", "[ranks][fairshare]")
{
    QueueModel model({0, 0, 0}, 4, EqualService);
    model.flood(Rank::Batch, 200, "heavy", 1);
    model.flood(Rank::Batch, 40, "weighted", 3);
    model.runtime.advance(10s);
    const double ratio = static_cast<double>(model.startedByCaller["weighted"]) / static_cast<double>(model.startedByCaller["heavy"]);
    CHECK(ratio == Approx(3).epsilon(0.05));

    SECTION("a caller with few requests is not delayed by one that floods")
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

TEST_CASE("Requests with short budgets overtake a caller's other requests without starving them", "[ranks][aging]")
{
    QueueModel model({0, 0, 0}, 1, EqualService);
    Duration longBudgetWait{0};
    model.submit(Rank::Batch, "caller", 1, 1s);
    model.submit(Rank::Batch, "caller", 1, 4s);
    const TimePoint begin = model.runtime.now();
    for (int i = 0; i < 1000; ++i) {
        model.submit(Rank::Batch, "caller", 1, 100ms);
        if (i == 0) {
            model.onStart = [&](Rank, Duration waited) { longBudgetWait = std::max(longBudgetWait, waited); };
        }
        model.runtime.advance(10ms);
    }
    CHECK(model.runtime.now() - begin == 10s);
    CHECK(longBudgetWait > 1s);
    CHECK(longBudgetWait < 2100ms);
}

TEST_CASE("The estimated wait depends on the caller's own position in the queue", "[ranks][estimate]")
{
    RankQueue queue({0.5, 0.25, 0.25});
    const TimePoint now{};
    for (int i = 0; i < 100; ++i) {
        queue.recordServiceTime(Rank::Batch, 10ms);
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
