#include <burdock/policy/instancelife.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Records the calls of InstanceLife; the test sets the number of requests in flight.
struct FakeInstanceLifePort final : InstanceLifePort
{
    void confirmConfiguration() override
    {
        ++confirmations;
    }
    void setReady(bool isReady) override
    {
        ready = isReady;
    }
    void announceLeaving() override
    {
        entry = false;
    }
    void closeConnectionsAfterAnswers() override
    {
        closing = true;
    }
    std::size_t inFlight() const override
    {
        return work;
    }
    void handOver(std::function<void()> done) override
    {
        handedOver = std::move(done);
    }
    void exit(std::size_t cutRequests) override
    {
        ++exits;
        abandoned = cutRequests;
    }

    int confirmations = 0;
    bool ready = false;
    bool entry = true;
    bool closing = false;
    std::size_t work = 0;
    std::function<void()> handedOver;
    int exits = 0;
    std::size_t abandoned = 0;
};

struct LifeFixture
{
    ManualRuntime runtime;
    FakeInstanceLifePort port;
    std::vector<std::string> states;
    InstanceLife life{runtime, port, {}};

    explicit LifeFixture(bool confirmed)
    {
        life.setMaxRequestTime(seconds(30));
        life.onChange([this](const std::string &state) { states.push_back(state); });
        runtime.advance(milliseconds(1));
        if (confirmed) {
            life.onConfigConfirmed();
        }
    }
    Errc refusalCode()
    {
        const auto refusal = life.refusal();
        CHECK((!refusal || refusal->verdict == Verdict::NotRun));
        return refusal ? refusal->code : Errc::Ok;
    }
};

} // namespace

TEST_CASE("An instance admits nothing before its configuration is confirmed", "[instancelife][point8]")
{
    LifeFixture fixture(false);
    CHECK(fixture.port.confirmations == 1);
    CHECK(fixture.refusalCode() == Errc::NotReady);
    CHECK_FALSE(fixture.port.ready);
    fixture.life.onConfigConfirmed();
    CHECK(fixture.refusalCode() == Errc::Ok);
    CHECK(fixture.port.ready);
}

TEST_CASE("After a pause an instance confirms its configuration before it admits work", "[instancelife][point8]")
{
    LifeFixture fixture(true);
    fixture.runtime.advance(seconds(10));
    CHECK(fixture.refusalCode() == Errc::Ok);
    fixture.runtime.freezeFor(seconds(5));
    SECTION("if a request is handled first")
    {
        CHECK(fixture.refusalCode() == Errc::NotReady);
    }
    SECTION("if its timers run first")
    {
        fixture.runtime.advance(milliseconds(100));
        CHECK(fixture.refusalCode() == Errc::NotReady);
    }
    CHECK_FALSE(fixture.port.ready);
    CHECK(fixture.port.confirmations == 2);
    CHECK(fixture.life.pauses() == 1);
    fixture.life.onConfigConfirmed();
    CHECK(fixture.refusalCode() == Errc::Ok);
}

TEST_CASE("A graceful shutdown abandons no request", "[instancelife][point7]")
{
    LifeFixture fixture(true);
    fixture.port.work = 3;
    fixture.life.terminate();

    // Callers may cache the address for its maximum age, and other instances offer it until they receive the leave.
    CHECK_FALSE(fixture.port.entry);
    for (int second = 0; second < 15; ++second) {
        CHECK(fixture.refusalCode() == Errc::Ok);
        CHECK_FALSE(fixture.port.closing);
        fixture.runtime.advance(seconds(1));
    }
    fixture.runtime.advance(milliseconds(100));
    CHECK(fixture.refusalCode() == Errc::Draining);
    CHECK(fixture.port.closing);

    SECTION("slow work finishes, then state is handed over, then the process exits")
    {
        fixture.runtime.advance(seconds(29));
        CHECK_FALSE(fixture.port.handedOver);
        fixture.port.work = 0;
        fixture.runtime.advance(milliseconds(100));
        REQUIRE(fixture.port.handedOver);
        CHECK(fixture.port.exits == 0);
        fixture.port.handedOver();
        CHECK(fixture.port.exits == 1);
        CHECK(fixture.port.abandoned == 0);
        CHECK(fixture.states == std::vector<std::string>{"ready", "leaving", "refusing", "handingOver", "exited"});
        fixture.port.handedOver();
        fixture.life.terminate();
        CHECK(fixture.port.exits == 1);
    }
    SECTION("new work is refused for a minimum time even if nothing is in flight")
    {
        fixture.port.work = 0;
        fixture.runtime.advance(milliseconds(800));
        CHECK_FALSE(fixture.port.handedOver);
        fixture.runtime.advance(milliseconds(300));
        CHECK(fixture.port.handedOver);
    }
    SECTION("work beyond the maximum request time and the grace margin is abandoned and counted")
    {
        fixture.runtime.advance(seconds(36));
        REQUIRE(fixture.port.handedOver);
        fixture.port.handedOver();
        CHECK(fixture.port.abandoned == 3);
    }
    SECTION("a hand-over that never completes times out")
    {
        fixture.port.work = 0;
        fixture.runtime.advance(seconds(7));
        CHECK(fixture.port.exits == 1);
    }
}

TEST_CASE("A shutdown can begin in any state, and only once", "[instancelife][point7]")
{
    SECTION("an instance that was never ready refuses immediately")
    {
        LifeFixture fixture(false);
        fixture.life.terminate();
        CHECK(fixture.refusalCode() == Errc::Draining);
        fixture.life.onConfigConfirmed();
        CHECK(fixture.refusalCode() == Errc::Draining);
        CHECK_FALSE(fixture.port.entry);
    }
    SECTION("a second signal has no effect")
    {
        LifeFixture fixture(true);
        fixture.life.terminate();
        fixture.runtime.advance(seconds(10));
        fixture.life.terminate();
        fixture.runtime.advance(seconds(4));
        CHECK(fixture.refusalCode() == Errc::Ok);
        fixture.runtime.advance(seconds(2));
        CHECK(fixture.refusalCode() == Errc::Draining);
    }
    SECTION("a pause during the shutdown ends admission, since the configuration is no longer confirmed")
    {
        LifeFixture fixture(true);
        fixture.life.terminate();
        fixture.runtime.freezeFor(seconds(5));
        CHECK(fixture.refusalCode() == Errc::Draining);
    }
}
