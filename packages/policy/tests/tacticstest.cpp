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
    void answers(const ServerId &server, Duration took, int times = 1)
    {
        for (int i = 0; i < times; ++i) {
            tactics.attemptEnded(server, Rank::Urgent, Errc::Ok, took);
        }
    }

    void fails(const ServerId &server, Errc code, int times = 1)
    {
        for (int i = 0; i < times; ++i) {
            tactics.attemptEnded(server, Rank::Urgent, code, 100us);
        }
    }

    /// How many of 3000 choices fall on each server.
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
        /// The least and the most choices of 3000 that may fall on A.
        int least;
        int most;
    };
    const std::vector<Case> cases{
        {"all alike", [](TacticsFixture &) {}, 850, 1150},
        {"a long queue", [](TacticsFixture &f) { f.tactics.serverReported(report(A, 50ms)); }, 0, 0},
        {"slow tenfold while its health says fine", [](TacticsFixture &f) { f.answers(A, 100ms, 20); }, 0, 0},
        {"errors, very fast", [](TacticsFixture &f) { f.fails(A, Errc::ConnectionLost, 20); }, 0, 0},
        {"one error", [](TacticsFixture &f) { f.fails(A, Errc::ConnectionLost); }, 0, 0},
        {"attempts given up late", [](TacticsFixture &f) { f.tactics.attemptEnded(A, Rank::Urgent, Errc::Cancelled, 300ms); }, 0, 0},
        {"attempts given up early", [](TacticsFixture &f) { f.tactics.attemptEnded(A, Rank::Urgent, Errc::Cancelled, 1ms); }, 850, 1150},
        {"refused early for load elsewhere", [](TacticsFixture &f) { f.fails(A, Errc::DeadlineExceeded, 50); }, 850, 1150},
        {"leaving", [](TacticsFixture &f) { f.tactics.serverReported(report(A, 0ms, true)); }, 0, 0},
        {"leaving and back", [](TacticsFixture &f) { f.tactics.serverReported(report(A, 0ms, true)), f.tactics.serverReported(report(A, 0ms)); }, 850, 1150},
    };
    for (const Case &fault : cases) {
        DYNAMIC_SECTION(fault.what)
        {
            for (const ServerId &server : Replicas) {
                answers(server, 10ms, 30);
            }
            fault.fault(*this);
            const int chosen = choices()[A];
            CHECK(chosen >= fault.least);
            CHECK(chosen <= fault.most);
        }
    }
}

TEST_CASE_METHOD(TacticsFixture, "A replica that was bad is tried again after a few seconds", "[tactics][replica]")
{
    for (const ServerId &server : Replicas) {
        answers(server, 10ms, 30);
    }
    SECTION("after it was slow")
    {
        answers(A, 100ms, 20);
    }
    SECTION("after it failed")
    {
        fails(A, Errc::Unavailable, 20);
    }
    CHECK(choices()[A] == 0);
    for (int second = 0; second < 15; ++second) {
        runtime.advance(1s);
        answers(B, 10ms, 30);
        answers(C, 10ms, 30);
    }
    CHECK(choices()[A] > 1000);
}

TEST_CASE_METHOD(TacticsFixture, "At most half of a shard's replicas are ejected at once", "[tactics][ejection]")
{
    for (const ServerId &server : Replicas) {
        answers(server, 10ms, 30);
        fails(server, Errc::Unavailable, 20);
    }
    const auto counts = choices();
    CHECK(std::count_if(Replicas.begin(), Replicas.end(), [&](const ServerId &server) { return counts.count(server) > 0; }) >= 2);
    CHECK(tactics.counters().ejections == 3);

    SECTION("a single replica is never ejected")
    {
        CHECK(tactics.chooseReplica({A}, Rank::Urgent, {}) == A);
    }
    SECTION("a failure after the return ejects at once, and answers clear the record")
    {
        runtime.advance(5s);
        answers(A, 10ms, 4);
        fails(A, Errc::Unavailable);
        CHECK(tactics.counters().ejections == 4);
        runtime.advance(5s);
        answers(A, 10ms, 5);
        fails(A, Errc::Unavailable);
        CHECK(tactics.counters().ejections == 4);
    }
}

TEST_CASE_METHOD(TacticsFixture, "Nothing is chosen where every replica was tried or leaves", "[tactics][replica]")
{
    CHECK_FALSE(tactics.chooseReplica({}, Rank::Urgent, {}));
    CHECK_FALSE(tactics.chooseReplica(Replicas, Rank::Urgent, Replicas));
    tactics.serverReported(report(A, 0ms, true));
    CHECK_FALSE(tactics.chooseReplica({A}, Rank::Urgent, {}));
    CHECK(tactics.chooseReplica({A, B}, Rank::Urgent, {}) == B);
}

TEST_CASE_METHOD(TacticsFixture, "The hedge delay follows the measured quantile of the replica and rank", "[tactics][hedge]")
{
    CHECK_FALSE(tactics.hedgeDelay(A, Rank::Urgent));
    for (const ServerId &server : {A, B, C}) {
        answers(server, 10ms, 97);
        answers(server, 200ms, 3);
    }
    REQUIRE(tactics.hedgeDelay(A, Rank::Urgent));
    CHECK(*tactics.hedgeDelay(A, Rank::Urgent) >= 10ms);
    CHECK(*tactics.hedgeDelay(A, Rank::Urgent) <= 12ms);
    CHECK_FALSE(tactics.hedgeDelay(A, Rank::Batch));

    SECTION("a replica without samples has the quantile of all")
    {
        CHECK(tactics.hedgeDelay(ServerId("new"), Rank::Urgent) == tactics.hedgeDelay(A, Rank::Urgent));
    }
    SECTION("a replica slow as a whole is waited for at most twice as long")
    {
        answers(A, 100ms, 2);
        answers(ServerId("slow"), 100ms, 30);
        answers(B, 10ms, 2000);
        CHECK(*tactics.hedgeDelay(ServerId("slow"), Rank::Urgent) <= 24ms);
    }
    SECTION("old samples are forgotten")
    {
        answers(A, 200ms, 100);
        CHECK(*tactics.hedgeDelay(A, Rank::Urgent) > 20ms);
        runtime.advance(100s);
        answers(A, 10ms, 100);
        CHECK(*tactics.hedgeDelay(A, Rank::Urgent) <= 12ms);
    }
    SECTION("under a flood there is none")
    {
        for (int i = 0; i < 60; ++i) {
            tactics.serverReported(report(A, 100ms));
        }
        CHECK_FALSE(tactics.hedgeDelay(A, Rank::Urgent));
        CHECK_FALSE(tactics.takeHedge());
        for (int i = 0; i < 60; ++i) {
            tactics.serverReported(report(A, 0ms));
        }
        CHECK(tactics.hedgeDelay(A, Rank::Urgent));
        CHECK(tactics.takeHedge());
    }
}

TEST_CASE_METHOD(TacticsFixture, "Extra attempts stay within their part of the first ones", "[tactics][budget]")
{
    const TacticsSettings settings;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    for (int i = 0; i < 10000; ++i) {
        tactics.firstAttempt();
        hedges += tactics.takeHedge() ? 1 : 0;
        retries += tactics.takeRetry() ? 1 : 0;
    }
    CHECK(hedges <= 10000 * settings.hedgePart + settings.burst);
    CHECK(hedges >= 10000 * settings.hedgePart);
    CHECK(retries <= 10000 * settings.retryPart + settings.burst);
    CHECK(retries >= 10000 * settings.retryPart);
    CHECK(tactics.counters().hedgesDenied == 10000 - hedges);
}
