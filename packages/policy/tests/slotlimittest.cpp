#include <burdock/policy/slotlimit.h>

#include <catch2/catch.hpp>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

/// Drives a SlotLimit with requests one after the other, each using all slots.
struct SlotLimitFixture
{
    void answers(int times, Duration took = 10ms, bool limited = true)
    {
        for (int i = 0; i < times; ++i) {
            now += took;
            limit.answered(now - took, took, limited, now);
        }
    }

    void shed(Duration took = 1ms)
    {
        now += took;
        limit.shed(now - took, now);
    }

    SlotLimit limit{8};
    TimePoint now{1h};
};

} // namespace

TEST_CASE_METHOD(SlotLimitFixture, "A server may be cold, so its limit starts low and rises while it is used up", "[slots]")
{
    CHECK(limit.current() == 4);
    SECTION("to the declared slots and not above")
    {
        answers(200);
        CHECK(limit.current() == 8);
    }
    SECTION("not while there is less work than slots")
    {
        answers(200, 10ms, false);
        CHECK(limit.current() == 4);
    }
}

TEST_CASE_METHOD(SlotLimitFixture, "Sheds take the limit down, once for what was under way together", "[slots]")
{
    answers(200);
    for (int i = 0; i < 5; ++i) {
        limit.shed(now, now + 1ms);
    }
    CHECK(limit.current() == 5);
    now += 10ms;
    for (int i = 0; i < 20; ++i) {
        shed();
    }
    CHECK(limit.current() == 1);
    answers(200);
    CHECK(limit.current() == 8);
}

TEST_CASE_METHOD(SlotLimitFixture, "A server that slows keeps at least half of its slots and gets them back", "[slots]")
{
    answers(200);
    answers(600, 100ms);
    CHECK(limit.current() == 4);
    answers(200, 10ms);
    CHECK(limit.current() == 8);

    SECTION("single stragglers are no slowing")
    {
        for (int i = 0; i < 600; ++i) {
            answers(1, i % 20 == 0 ? 200ms : 10ms);
        }
        CHECK(limit.current() == 8);
    }
}

TEST_CASE_METHOD(SlotLimitFixture, "The declared slots may change", "[slots]")
{
    answers(200);
    limit.setDeclared(3);
    CHECK(limit.current() == 3);
    limit.setDeclared(6);
    answers(200);
    CHECK(limit.current() == 6);
    limit.setDeclared(0);
    CHECK(limit.current() == 1);
}
