#include <burdock/routing/loopdelay.h>

#include <catch2/catch.hpp>

using namespace Burdock;
using std::chrono::milliseconds;

namespace
{

void run(LoopDelay &delay, int times, Duration late)
{
    for (int time = 0; time < times; ++time) {
        const TimePoint due{};
        delay.ran(due, due + late);
    }
}

} // namespace

TEST_CASE("An instance whose loop is late for a second is crowded, and has room again when it is punctual", "[loopdelay]")
{
    LoopDelay delay;
    run(delay, 50, milliseconds(2));
    CHECK_FALSE(delay.crowded());
    SECTION("one late turn says nothing")
    {
        run(delay, 1, milliseconds(40));
        CHECK_FALSE(delay.crowded());
    }
    SECTION("a delay that lasts does")
    {
        run(delay, 5, milliseconds(40));
        CHECK(delay.crowded());
        CHECK(delay.smoothed() > milliseconds(20));
        run(delay, 3, milliseconds(12));
        CHECK(delay.crowded());
        run(delay, 10, milliseconds(2));
        CHECK_FALSE(delay.crowded());
    }
    SECTION("a suspension of minutes is forgotten within two seconds")
    {
        run(delay, 1, std::chrono::minutes(3));
        CHECK(delay.crowded());
        run(delay, 10, milliseconds(1));
        CHECK_FALSE(delay.crowded());
    }
    SECTION("a timer that fires early counts as punctual")
    {
        LoopDelay early;
        run(early, 20, -milliseconds(5));
        CHECK((early.smoothed() == Duration{0}));
    }
}
