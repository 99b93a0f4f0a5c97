#include "routertestbed.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace Burdock;

TEST_CASE("An instance that ends by a fault is noticed at any moment, one that was told to end is not", "[testbed]")
{
    RouterTestbed bed;
    bed.startInstance("i1");
    REQUIRE(bed.eventually([&bed] { return bed.log("i1").find("listening") != std::string::npos; }));
    const auto hasEnded = [&bed] { return !bed.process("i1").isRunning(); };
    SECTION("while it serves")
    {
        bed.process("i1").signal(SIGSEGV);
        REQUIRE(bed.eventually(hasEnded));
        CHECK(bed.takeFaultyEnds().size() == 1);
        CHECK(bed.takeFaultyEnds().empty());
    }
    SECTION("while it is stopped, and before it is started again")
    {
        bed.process("i1").signal(SIGSTOP);
        bed.process("i1").signal(SIGTERM);
        bed.process("i1").signal(SIGABRT);
        bed.process("i1").signal(SIGCONT);
        REQUIRE(bed.eventually(hasEnded));
        bed.startInstance("i1");
        CHECK(bed.takeFaultyEnds().size() == 1);
    }
    SECTION("it was killed")
    {
        bed.process("i1").signal(SIGKILL);
        REQUIRE(bed.eventually(hasEnded));
        CHECK(bed.takeFaultyEnds().empty());
    }
}
