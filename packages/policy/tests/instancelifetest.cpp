#include <burdock/policy/instancelife.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Records what the life asked for; work is in flight as the test says.
struct Program final : InstanceLifePort
{
    void confirmConfiguration() override
    {
        ++confirmations;
    }
    void setReady(bool isReady) override
    {
        ready = isReady;
    }
    void leaveEntries() override
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
        cut = cutRequests;
    }

    int confirmations = 0;
    bool ready = false;
    bool entry = true;
    bool closing = false;
    std::size_t work = 0;
    std::function<void()> handedOver;
    int exits = 0;
    std::size_t cut = 0;
};

struct Running
{
    ManualRuntime runtime;
    Program program;
    std::vector<std::string> states;
    InstanceLife life{runtime, program, {}};

    explicit Running(bool confirmed)
    {
        life.setLongestWait(seconds(30));
        life.onChange([this](const std::string &state) { states.push_back(state); });
        runtime.advance(milliseconds(1));
        if (confirmed) {
            life.confirmed();
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
    Running running(false);
    CHECK(running.program.confirmations == 1);
    CHECK(running.refusalCode() == Errc::NotReady);
    CHECK_FALSE(running.program.ready);
    running.life.confirmed();
    CHECK(running.refusalCode() == Errc::Ok);
    CHECK(running.program.ready);
}

TEST_CASE("An instance that stood still confirms its configuration before it admits work", "[instancelife][point8]")
{
    Running running(true);
    running.runtime.advance(seconds(10));
    CHECK(running.refusalCode() == Errc::Ok);
    running.runtime.freezeFor(seconds(5));
    SECTION("also where the first thing that it does is a request")
    {
        CHECK(running.refusalCode() == Errc::NotReady);
    }
    SECTION("or where its timers come first")
    {
        running.runtime.advance(milliseconds(100));
        CHECK(running.refusalCode() == Errc::NotReady);
    }
    CHECK_FALSE(running.program.ready);
    CHECK(running.program.confirmations == 2);
    CHECK(running.life.pauses() == 1);
    running.life.confirmed();
    CHECK(running.refusalCode() == Errc::Ok);
}

TEST_CASE("A graceful shutdown cuts no request", "[instancelife][point7]")
{
    Running running(true);
    running.program.work = 3;
    running.life.terminate();

    // Callers may hold the address for its age, and others name it until they hear of the leave.
    CHECK_FALSE(running.program.entry);
    for (int second = 0; second < 15; ++second) {
        CHECK(running.refusalCode() == Errc::Ok);
        CHECK_FALSE(running.program.closing);
        running.runtime.advance(seconds(1));
    }
    running.runtime.advance(milliseconds(100));
    CHECK(running.refusalCode() == Errc::Draining);
    CHECK(running.program.closing);

    SECTION("slow work is waited for, then handed over, then the process ends")
    {
        running.runtime.advance(seconds(29));
        CHECK_FALSE(running.program.handedOver);
        running.program.work = 0;
        running.runtime.advance(milliseconds(100));
        REQUIRE(running.program.handedOver);
        CHECK(running.program.exits == 0);
        running.program.handedOver();
        CHECK(running.program.exits == 1);
        CHECK(running.program.cut == 0);
        CHECK(running.states == std::vector<std::string>{"ready", "leaving", "refusing", "handingOver", "exited"});
        running.program.handedOver();
        running.life.terminate();
        CHECK(running.program.exits == 1);
    }
    SECTION("new work is refused for a while even where nothing is in flight")
    {
        running.program.work = 0;
        running.runtime.advance(milliseconds(800));
        CHECK_FALSE(running.program.handedOver);
        running.runtime.advance(milliseconds(300));
        CHECK(running.program.handedOver);
    }
    SECTION("work beyond the longest declared wait is cut and counted")
    {
        running.runtime.advance(seconds(36));
        REQUIRE(running.program.handedOver);
        running.program.handedOver();
        CHECK(running.program.cut == 3);
    }
    SECTION("a hand-over that never ends does not keep the process")
    {
        running.program.work = 0;
        running.runtime.advance(seconds(7));
        CHECK(running.program.exits == 1);
    }
}

TEST_CASE("A shutdown is begun once, from any state", "[instancelife][point7]")
{
    SECTION("before the instance was ever ready it refuses at once")
    {
        Running running(false);
        running.life.terminate();
        CHECK(running.refusalCode() == Errc::Draining);
        running.life.confirmed();
        CHECK(running.refusalCode() == Errc::Draining);
        CHECK_FALSE(running.program.entry);
    }
    SECTION("a second signal shortens nothing")
    {
        Running running(true);
        running.life.terminate();
        running.runtime.advance(seconds(10));
        running.life.terminate();
        running.runtime.advance(seconds(4));
        CHECK(running.refusalCode() == Errc::Ok);
        running.runtime.advance(seconds(2));
        CHECK(running.refusalCode() == Errc::Draining);
    }
    SECTION("a pause on the way out ends admission, since nobody confirms any more")
    {
        Running running(true);
        running.life.terminate();
        running.runtime.freezeFor(seconds(5));
        CHECK(running.refusalCode() == Errc::Draining);
    }
}
