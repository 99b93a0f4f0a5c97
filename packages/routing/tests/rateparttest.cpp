#include <burdock/routing/ratepart.h>

#include <catch2/catch.hpp>

using namespace Burdock;
using std::chrono::seconds;

namespace
{

const InstanceId A("a");
const InstanceId B("b");
const InstanceId C("c");
const InstanceId D("d");

/// The part of an instance that has known its fellows for some time.
RatePart settledPart(TimePoint now)
{
    RatePart part(A);
    part.onConfirmed(now);
    part.setSenders({A, B, C, D}, now - seconds(10));
    return part;
}

} // namespace

TEST_CASE("A lost sender's part is not used for a while, and divided then", "[rates]")
{
    const TimePoint now(seconds(100));
    RatePart part = settledPart(now);
    CHECK(part.part(now) == 0.25);
    part.setSenders({A, B, C}, now);
    TimePoint later = now + RatePart::SenderMemory - seconds(1);
    part.onConfirmed(later);
    CHECK(part.part(later) == 0.25);
    later += seconds(1);
    CHECK(part.part(later) == 1.0 / 3);
}

TEST_CASE("The smaller side of a partition does not divide the parts of the larger one", "[rates]")
{
    const TimePoint now(seconds(100));
    RatePart part = settledPart(now);
    part.setSenders({A}, now);
    const TimePoint later = now + 2 * RatePart::SenderMemory;
    part.onConfirmed(later);
    CHECK(part.part(later) == 0.25);
}

TEST_CASE("An instance that is isolated gives up its part before the others divide it", "[rates]")
{
    const TimePoint now(seconds(100));
    RatePart part = settledPart(now);
    CHECK(part.part(now + RatePart::SenderMemory - seconds(11)) == 0.25);
    CHECK(part.part(now + RatePart::SenderMemory - seconds(10)) == 0);
    part.onConfirmed(now + RatePart::SenderMemory);
    CHECK(part.part(now + RatePart::SenderMemory) == 0.25);
}

TEST_CASE("An instance that has just learned of the others uses a fraction of its part, and forgets who was listed too early", "[rates]")
{
    const TimePoint now(seconds(100));
    RatePart part(A);
    part.onConfirmed(now);
    CHECK(part.part(now) == 0);
    part.setSenders({A}, now);
    CHECK(part.part(now) == 0.5);
    part.setSenders({A, B, C}, now + seconds(1));
    part.setSenders({A, B}, now + seconds(2));
    CHECK(part.part(now + seconds(2)) == 0.25);
    CHECK(part.part(now + seconds(3)) == 0.5);
}

TEST_CASE("An instance that clients are not directed to has no part", "[rates]")
{
    const TimePoint now(seconds(100));
    RatePart part(A);
    part.onConfirmed(now);
    part.setSenders({B, C}, now - seconds(10));
    CHECK(part.part(now) == 0);
}
