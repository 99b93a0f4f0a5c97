#include "linknode.h"

#include <catch2/catch.hpp>

using namespace Burdock;

TEST_CASE("messages of one loop iteration share a frame, and the reply uses the same link", "[links]")
{
    EventLoop loop;
    Node a(loop, "a");
    Node b(loop, "b");
    a.links->setPeer(b.id, b.address);
    for (std::uint64_t number = 1; number <= 3; ++number) {
        CHECK(a.links->send(b.id, numbered(number)));
    }
    REQUIRE(loop.runUntil([&] { return b.received.size() == 3; }, TestTimeout));
    CHECK(numbers(b) == std::vector<std::uint64_t>{1, 2, 3});
    CHECK(b.received.front().first == a.id);
    CHECK(a.links->counters().framesSent == 2);
    CHECK(a.links->counters().messagesSent == 4);

    CHECK(b.links->send(a.id, numbered(4)));
    REQUIRE(loop.runUntil([&] { return a.received.size() == 1; }, TestTimeout));
    CHECK(a.links->openLinks() == 1);
    CHECK(b.links->openLinks() == 1);
    CHECK(b.links->counters().linksOpened == 1);
}
