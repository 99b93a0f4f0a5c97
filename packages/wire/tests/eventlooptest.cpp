#include <burdock/wire/eventloop.h>

#include <catch2/catch.hpp>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("A timer never fires before its delay is over", "[loop]")
{
    EventLoop loop;
    SECTION("it is scheduled late in a long callback")
    {
        // The loop's own clock stands still during a callback.
        TimePoint scheduledAt{};
        TimePoint firedAt{};
        loop.schedule(Duration{0}, [&] {
            const TimePoint until = loop.now() + milliseconds(30);
            while (loop.now() < until) { }
            scheduledAt = loop.now();
            loop.schedule(milliseconds(20), [&] { firedAt = loop.now(); });
        });
        REQUIRE(loop.runUntil([&] { return firedAt != TimePoint{}; }, seconds(5)));
        CHECK(firedAt - scheduledAt >= milliseconds(20));
    }
    SECTION("its delay is a fraction of the clock's resolution")
    {
        int early = 0;
        int fired = 0;
        for (int number = 0; number < 50; ++number) {
            const Duration delay = Duration(1500 + number * 137);
            loop.schedule(delay, [&, due = loop.now() + delay] {
                ++fired;
                early += loop.now() < due ? 1 : 0;
            });
        }
        REQUIRE(loop.runUntil([&] { return fired == 50; }, seconds(5)));
        CHECK(early == 0);
    }
}
