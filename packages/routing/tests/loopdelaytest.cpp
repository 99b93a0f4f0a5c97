#include <burdock/routing/loopdelay.h>

#include <catch2/catch.hpp>

using namespace Burdock;
using std::chrono::milliseconds;

namespace
{

/// Simulates a periodic 200 ms timer that fires late.
struct Timer
{
    void run(int times, Duration late)
    {
        for (int time = 0; time < times; ++time) {
            due += milliseconds(200);
            delay.onTimerFired(due, due + late);
        }
    }

    LoopDelay delay;
    TimePoint due{std::chrono::seconds(100)};
};

} // namespace

TEST_CASE("An instance is crowded while its loop is delayed for about a second or more", "[loopdelay]")
{
    Timer timer;
    timer.run(50, milliseconds(2));
    CHECK_FALSE(timer.delay.crowded());
    SECTION("one late iteration has no effect")
    {
        timer.run(1, milliseconds(40));
        CHECK_FALSE(timer.delay.crowded());
    }
    SECTION("a lasting delay makes it crowded, with hysteresis")
    {
        timer.run(5, milliseconds(40));
        CHECK(timer.delay.crowded());
        CHECK((timer.delay.smoothed() > milliseconds(20)));
        timer.run(50, milliseconds(12));
        CHECK(timer.delay.crowded());
        timer.run(10, milliseconds(2));
        CHECK_FALSE(timer.delay.crowded());
    }
    SECTION("each state lasts at least five seconds, which limits the number of changes")
    {
        timer.run(5, milliseconds(40));
        int changes = 0;
        bool before = timer.delay.crowded();
        for (int burst = 0; burst < 10; ++burst) {
            for (const Duration late : {milliseconds(0), milliseconds(150)}) {
                timer.run(10, late);
                changes += timer.delay.crowded() != before ? 1 : 0;
                before = timer.delay.crowded();
            }
        }
        CHECK(changes <= 8);
    }
    SECTION("the effect of a suspension of minutes ends with the minimum duration of the state")
    {
        timer.run(1, std::chrono::minutes(3));
        CHECK(timer.delay.crowded());
        timer.due += std::chrono::minutes(3);
        timer.run(26, milliseconds(1));
        CHECK_FALSE(timer.delay.crowded());
    }
    SECTION("a timer that fires early counts as on time")
    {
        Timer early;
        early.run(20, -milliseconds(5));
        CHECK((early.delay.smoothed() == Duration{0}));
    }
}
