#include <burdock/policy/slotlimit.h>

#include <catch2/catch.hpp>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

/// Drives a SlotLimit with sequential requests; by default all slots are in use during each.
struct SlotLimitFixture
{
    void recordAnswers(int times, Duration took = 10ms, bool limited = true)
    {
        for (int i = 0; i < times; ++i) {
            now += took;
            limit.onAnswered(now - took, took, limited, now);
        }
    }

    void shed(Duration took = 1ms)
    {
        now += took;
        limit.onShed(now - took, now);
    }

    SlotLimit limit{8};
    TimePoint now{1h};
};

} // namespace

TEST_CASE_METHOD(SlotLimitFixture, "The limit starts at half the declared slots and rises while all its slots are in use", "[slots]")
{
    CHECK(limit.current() == 4);
    SECTION("it rises up to the declared slots")
    {
        recordAnswers(200);
        CHECK(limit.current() == 8);
    }
    SECTION("it does not rise while slots are free")
    {
        recordAnswers(200, 10ms, false);
        CHECK(limit.current() == 4);
    }
}

TEST_CASE_METHOD(SlotLimitFixture, "Shed requests lower the limit, once for all that were in flight together", "[slots]")
{
    recordAnswers(200);
    for (int i = 0; i < 5; ++i) {
        limit.onShed(now, now + 1ms);
    }
    CHECK(limit.current() == 5);
    now += 10ms;
    for (int i = 0; i < 20; ++i) {
        shed();
    }
    CHECK(limit.current() == 1);
    recordAnswers(200);
    CHECK(limit.current() == 8);
}

TEST_CASE_METHOD(SlotLimitFixture, "A slowed server keeps at least half of its declared slots and regains the others", "[slots]")
{
    recordAnswers(200);
    recordAnswers(600, 100ms);
    CHECK(limit.current() == 4);
    recordAnswers(200, 10ms);
    CHECK(limit.current() == 8);

    SECTION("single stragglers do not count as a slowdown")
    {
        for (int i = 0; i < 600; ++i) {
            recordAnswers(1, i % 20 == 0 ? 200ms : 10ms);
        }
        CHECK(limit.current() == 8);
    }
}

TEST_CASE_METHOD(SlotLimitFixture, "The limit follows changes of the declared slots", "[slots]")
{
    recordAnswers(200);
    limit.setDeclared(3);
    CHECK(limit.current() == 3);
    limit.setDeclared(6);
    recordAnswers(200);
    CHECK(limit.current() == 6);
    limit.setDeclared(0);
    CHECK(limit.current() == 1);
}
