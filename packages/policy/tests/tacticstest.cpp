#include <burdock/policy/budgetedtactics.h>
#include <burdock/values/manualruntime.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

const ServerId A("a");
const ServerId B("b");
const ServerId C("c");
const std::vector<ServerId> Replicas{A, B, C};

ServerReport report(const ServerId &server, Duration delay, bool draining = false)
{
    ServerReport report;
    report.server = server;
    report.draining = draining;
    report.queueDelay.fill(delay);
    return report;
}

struct TacticsFixture
{
    void recordAnswers(const ServerId &server, Duration took, int times = 1)
    {
        for (int i = 0; i < times; ++i) {
            tactics.onAttemptFinished(server, Rank::Urgent, Errc::Ok, took);
        }
    }

    void recordFailures(const ServerId &server, Errc code, int times = 1)
    {
        for (int i = 0; i < times; ++i) {
            tactics.onAttemptFinished(server, Rank::Urgent, code, 100us);
        }
    }

    /// How often each server is chosen in 3000 choices.
    std::map<ServerId, int> choices(const std::vector<ServerId> &replicas = Replicas)
    {
        std::map<ServerId, int> counts;
        for (int i = 0; i < 3000; ++i) {
            ++counts[tactics.chooseReplica(replicas, Rank::Urgent, {}).value()];
        }
        return counts;
    }

    ManualRuntime runtime;
    BudgetedTactics tactics{runtime, 1};
};

} // namespace

TEST_CASE_METHOD(TacticsFixture, "Replicas are chosen by their state", "[tactics][replica]")
{
    struct Case
    {
        const char *what;
        std::function<void(TacticsFixture &)> fault;
        /// The minimum and maximum number of the 3000 choices that may fall on A.
        int min;
        int max;
    };
    const std::vector<Case> cases{
        {"all replicas alike", [](TacticsFixture &) {}, 850, 1150},
        {"a long queue", [](TacticsFixture &f) { f.tactics.onServerReport(report(A, 50ms)); }, 0, 0},
        {"ten times slower than the others without a report of it", [](TacticsFixture &f) { f.recordAnswers(A, 100ms, 20); }, 0, 0},
        {"fast errors", [](TacticsFixture &f) { f.recordFailures(A, Errc::ConnectionLost, 20); }, 0, 0},
        {"one error", [](TacticsFixture &f) { f.recordFailures(A, Errc::ConnectionLost); }, 0, 0},
        {"an attempt abandoned late", [](TacticsFixture &f) { f.tactics.onAttemptFinished(A, Rank::Urgent, Errc::Cancelled, 300ms); }, 0, 0},
        {"an attempt abandoned early", [](TacticsFixture &f) { f.tactics.onAttemptFinished(A, Rank::Urgent, Errc::Cancelled, 1ms); }, 850, 1150},
        {"requests that expire early because of load elsewhere", [](TacticsFixture &f) { f.recordFailures(A, Errc::DeadlineExceeded, 50); }, 850, 1150},
        {"leaving", [](TacticsFixture &f) { f.tactics.onServerReport(report(A, 0ms, true)); }, 0, 0},
        {"leaving and then serving again",
         [](TacticsFixture &f) { f.tactics.onServerReport(report(A, 0ms, true)), f.tactics.onServerReport(report(A, 0ms)); },
         850,
         1150},
    };
    for (const Case &fault : cases) {
        DYNAMIC_SECTION(fault.what)
        {
            for (const ServerId &server : Replicas) {
                recordAnswers(server, 10ms, 30);
            }
            fault.fault(*this);
            const int chosen = choices()[A];
            CHECK(chosen >= fault.min);
            CHECK(chosen <= fault.max);
        }
    }
}

TEST_CASE_METHOD(TacticsFixture, "A slow or failed replica is chosen again after a few seconds", "[tactics][replica]")
{
    for (const ServerId &server : Replicas) {
        recordAnswers(server, 10ms, 30);
    }
    SECTION("after it was slow")
    {
        recordAnswers(A, 100ms, 20);
    }
    SECTION("after it failed")
    {
        recordFailures(A, Errc::Unavailable, 20);
    }
    CHECK(choices()[A] == 0);
    for (int second = 0; second < 15; ++second) {
        runtime.advance(1s);
        recordAnswers(B, 10ms, 30);
        recordAnswers(C, 10ms, 30);
    }
    CHECK(choices()[A] > 1000);
}

TEST_CASE_METHOD(TacticsFixture, "At most half of a shard's replicas are ejected at once", "[tactics][ejection]")
{
    for (const ServerId &server : Replicas) {
        recordAnswers(server, 10ms, 30);
        recordFailures(server, Errc::Unavailable, 20);
    }
    const auto counts = choices();
    CHECK(std::count_if(Replicas.begin(), Replicas.end(), [&](const ServerId &server) { return counts.count(server) > 0; }) >= 2);
    CHECK(tactics.counters().ejections == 3);

    SECTION("a single replica is never ejected")
    {
        CHECK(tactics.chooseReplica({A}, Rank::Urgent, {}) == A);
    }
    SECTION("after an ejection one failure ejects again, until five answers in a row")
    {
        runtime.advance(5s);
        recordAnswers(A, 10ms, 4);
        recordFailures(A, Errc::Unavailable);
        CHECK(tactics.counters().ejections == 4);
        runtime.advance(5s);
        recordAnswers(A, 10ms, 5);
        recordFailures(A, Errc::Unavailable);
        CHECK(tactics.counters().ejections == 4);
    }
}

TEST_CASE_METHOD(TacticsFixture, "No replica is chosen if all were tried or are draining", "[tactics][replica]")
{
    CHECK_FALSE(tactics.chooseReplica({}, Rank::Urgent, {}));
    CHECK_FALSE(tactics.chooseReplica(Replicas, Rank::Urgent, Replicas));
    tactics.onServerReport(report(A, 0ms, true));
    CHECK_FALSE(tactics.chooseReplica({A}, Rank::Urgent, {}));
    CHECK(tactics.chooseReplica({A, B}, Rank::Urgent, {}) == B);
}

TEST_CASE_METHOD(TacticsFixture, "The hedge delay follows the measured quantile of the replica and rank", "[tactics][hedge]")
{
    CHECK_FALSE(tactics.hedgeDelay(A, Rank::Urgent));
    for (const ServerId &server : {A, B, C}) {
        recordAnswers(server, 10ms, 97);
        recordAnswers(server, 200ms, 3);
    }
    REQUIRE(tactics.hedgeDelay(A, Rank::Urgent));
    CHECK(*tactics.hedgeDelay(A, Rank::Urgent) >= 10ms);
    CHECK(*tactics.hedgeDelay(A, Rank::Urgent) <= 12ms);
    CHECK_FALSE(tactics.hedgeDelay(A, Rank::Batch));

    SECTION("a replica without samples uses the quantile over all replicas")
    {
        CHECK(tactics.hedgeDelay(ServerId("new"), Rank::Urgent) == tactics.hedgeDelay(A, Rank::Urgent));
    }
    SECTION("the delay for a replica that is always slow is at most twice the pooled quantile")
    {
        recordAnswers(A, 100ms, 2);
        recordAnswers(ServerId("slow"), 100ms, 30);
        recordAnswers(B, 10ms, 2000);
        CHECK(*tactics.hedgeDelay(ServerId("slow"), Rank::Urgent) <= 24ms);
    }
    SECTION("old samples lose their weight")
    {
        recordAnswers(A, 200ms, 100);
        CHECK(*tactics.hedgeDelay(A, Rank::Urgent) > 20ms);
        runtime.advance(100s);
        recordAnswers(A, 10ms, 100);
        CHECK(*tactics.hedgeDelay(A, Rank::Urgent) <= 12ms);
    }
    SECTION("requests are not hedged under overload")
    {
        for (int i = 0; i < 60; ++i) {
            tactics.onServerReport(report(A, 100ms));
        }
        CHECK_FALSE(tactics.hedgeDelay(A, Rank::Urgent));
        CHECK_FALSE(tactics.tryAcquireHedge());
        for (int i = 0; i < 60; ++i) {
            tactics.onServerReport(report(A, 0ms));
        }
        CHECK(tactics.hedgeDelay(A, Rank::Urgent));
        CHECK(tactics.tryAcquireHedge());
    }
}

TEST_CASE_METHOD(TacticsFixture, "Hedges and retries stay within their fractions of the first attempts", "[tactics][budget]")
{
    const TacticsSettings settings;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    for (int i = 0; i < 10000; ++i) {
        tactics.onFirstAttempt();
        hedges += tactics.tryAcquireHedge() ? 1 : 0;
        retries += tactics.tryAcquireRetry() ? 1 : 0;
    }
    CHECK(hedges <= 10000 * settings.hedgeFraction + settings.burst);
    CHECK(hedges >= 10000 * settings.hedgeFraction);
    CHECK(retries <= 10000 * settings.retryFraction + settings.burst);
    CHECK(retries >= 10000 * settings.retryFraction);
    CHECK(tactics.counters().hedgesDenied == 10000 - hedges);
}
