#include "claimworld.h"

#include <catch2/catch.hpp>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

constexpr Duration SettleTime = 3s;

void checkInvariants(const ClaimWorld &world)
{
    const auto violations = world.findViolations();
    for (const std::string &violation : violations) {
        UNSCOPED_INFO(violation);
    }
    CHECK(violations.empty());
}

/// Returns the verdict of a request; Ran if it was answered with an outcome.
Verdict verdictOf(const CallerRequest &request)
{
    return request.result ? Verdict::Ran : request.result.error().verdict;
}

} // namespace

TEST_CASE("A key sent to several instances at once runs once", "[claims][command]")
{
    ClaimWorld world(4);
    const bool differing = GENERATE(false, true);
    for (std::size_t instance = 0; differing && instance < 4; ++instance) {
        world.setView(instance, {instance, (instance + 1) % 4});
    }
    const std::string key = world.makeKey(0s, "a");
    for (std::size_t instance = 0; instance < 4; ++instance) {
        world.submit(instance, key);
    }
    world.run(SettleTime);
    CHECK(world.runsOf(key) == 1);
    const std::size_t later = world.submit(2, key);
    world.run(SettleTime);
    REQUIRE(world.requests[later].result);
    CHECK(world.requests[later].result->replayed);
    CHECK(world.requests[later].result->outcome == "done " + key);
    checkInvariants(world);
}

TEST_CASE("A key never runs twice if its claimant or owner is killed or frozen at any time", "[claims][command][faults]")
{
    enum class Fault { Kill, ShortFreeze, FreezePastDeadline };
    const Fault fault = GENERATE(Fault::Kill, Fault::ShortFreeze, Fault::FreezePastDeadline);
    const StoreBehaviour firstCommitBehaviour =
        GENERATE(StoreBehaviour::Works, StoreBehaviour::ReplyLost, StoreBehaviour::RequestLost, StoreBehaviour::LateEffect);
    const ServerBehaviour server = GENERATE(ServerBehaviour::Runs, ServerBehaviour::Refuses, ServerBehaviour::RunsReplyLost, ServerBehaviour::RunsLate);
    // Instance 0 is claimant and owner, claimant only, or owner only.
    const std::size_t owner = GENERATE(0, 1);
    const std::size_t faulty = GENERATE(0, 1);
    std::set<std::string> states;
    for (int moment = 0; moment < 130; moment += 3) {
        CAPTURE(static_cast<int>(fault), static_cast<int>(firstCommitBehaviour), static_cast<int>(server), owner, faulty, moment);
        ClaimWorld world(3, static_cast<std::uint64_t>(moment));
        world.setView(0, {owner, 2});
        world.setView(2, {2, owner});
        world.run(20ms);
        int commits = 0;
        world.storeBehaviour = [&] { return commits++ == 0 ? firstCommitBehaviour : StoreBehaviour::Works; };
        int sent = 0;
        world.serverBehaviour = [&] { return sent++ < 2 ? server : ServerBehaviour::Runs; };
        const std::string key = world.makeKey(0s, "a");
        world.submit(0, key);
        world.run(std::chrono::milliseconds(moment));
        for (const auto &state : world.coordinator(0).states()) {
            states.insert(state.first);
        }
        if (fault == Fault::Kill) {
            world.kill(faulty);
        } else {
            world.freeze(faulty);
        }
        // The caller repeats the command on another instance, and again on the faulty one after its recovery.
        world.submit(2, key);
        world.run(fault == Fault::ShortFreeze ? 60ms : 900ms);
        world.thaw(faulty);
        world.restart(faulty);
        world.submit(faulty, key);
        world.run(SettleTime);
        world.submit(1, key);
        world.run(SettleTime);
        const auto violations = world.findViolations();
        REQUIRE(violations == std::vector<std::string>{});
    }
    CHECK(states.count("claiming") == 1);
    CHECK(states.count("dispatched") + states.count("finished") + states.count("overdue") > 0);
}

TEST_CASE("A command is rejected as not run while the store is down, and runs after the store recovers", "[claims][command][faults]")
{
    const StoreBehaviour behaviour = GENERATE(StoreBehaviour::Down, StoreBehaviour::RequestLost, StoreBehaviour::ReplyLost, StoreBehaviour::LateEffect);
    CAPTURE(static_cast<int>(behaviour));
    ClaimWorld world(3);
    world.run(20ms);
    world.storeBehaviour = [behaviour] { return behaviour; };
    const std::string key = world.makeKey(0s, "a");
    const std::size_t refused = world.submit(0, key, 1500ms);
    world.run(2s);
    REQUIRE_FALSE(world.requests[refused].result);
    CHECK(verdictOf(world.requests[refused]) == Verdict::NotRun);
    CHECK(world.runsOf(key) == 0);
    world.storeBehaviour = [] { return StoreBehaviour::Works; };
    world.run(SettleTime);
    const std::size_t again = world.submit(1, key);
    world.run(SettleTime);
    if (behaviour == StoreBehaviour::Down || behaviour == StoreBehaviour::RequestLost) {
        CHECK(world.requests[again].result);
    }
    checkInvariants(world);
}

TEST_CASE("Repeats of a key are answered MayHaveRun if the claimant dies before dispatch", "[claims][command][faults]")
{
    ClaimWorld world(3);
    world.setView(0, {1});
    world.run(20ms);
    const std::string key = world.makeKey(0s, "a");
    world.submit(0, key);
    for (int waited = 0; waited < 100 && world.store.claims.empty(); ++waited) {
        world.run(1ms);
    }
    REQUIRE(world.store.claims.size() == 1);
    world.kill(0);
    const std::size_t repeat = world.submit(2, key);
    world.run(SettleTime);
    CHECK(world.runsOf(key) == 0);
    CHECK(verdictOf(world.requests[repeat]) == Verdict::MayHaveRun);
    CHECK(world.requests[repeat].result.error().code == Errc::ClaimedElsewhere);
}

TEST_CASE("A released key can be claimed again", "[claims][command]")
{
    ClaimWorld world(2);
    world.run(20ms);
    const std::string key = world.makeKey(0s, "a");
    world.serverBehaviour = [] { return ServerBehaviour::Refuses; };
    const std::size_t refused = world.submit(0, key);
    world.run(SettleTime);
    CHECK(verdictOf(world.requests[refused]) == Verdict::NotRun);
    CHECK(world.store.claims.begin()->second.record.state == ClaimState::Released);
    world.serverBehaviour = [] { return ServerBehaviour::Runs; };
    const std::size_t again = world.submit(1, key);
    world.run(SettleTime);
    CHECK(verdictOf(world.requests[again]) == Verdict::Ran);
    checkInvariants(world);
}

TEST_CASE("A repeated request receives an outcome that arrived after the deadline", "[claims][command]")
{
    ClaimWorld world(2);
    world.run(20ms);
    const std::string key = world.makeKey(0s, "a");
    world.serverBehaviour = [] { return ServerBehaviour::RunsLate; };
    const std::size_t first = world.submit(0, key);
    world.run(400ms);
    CHECK(verdictOf(world.requests[first]) == Verdict::MayHaveRun);
    CHECK(world.coordinator(0).states() == std::map<std::string, std::size_t>{{"overdue", 1}});
    world.run(SettleTime);
    const std::size_t again = world.submit(1, key);
    world.run(SettleTime);
    REQUIRE(world.requests[again].result);
    CHECK(world.requests[again].result->replayed);
    checkInvariants(world);
}

TEST_CASE("A key older than the claim window is rejected, also by an instance that was frozen during the sweep", "[claims][command][faults]")
{
    ClaimWorld world(3);
    world.setView(0, {1});
    world.setView(1, {1});
    world.setView(2, {2});
    world.run(20ms);
    const std::string key = world.makeKey(0s, "a");

    SECTION("by the clock of the entry instance")
    {
        const std::size_t old = world.submit(0, world.makeKey(11min, "old"));
        CHECK(world.requests[old].result.error().code == Errc::KeyExpired);
        CHECK(verdictOf(world.requests[old]) == Verdict::MayHaveRun);
    }
    SECTION("the record is deleted, but the key does not run again")
    {
        world.submit(0, key);
        world.run(1s);
        // The repeat is accepted now; its entry instance, which is also the owner, is frozen until the claim is swept.
        world.freeze(2);
        world.submit(2, key, 2s);
        world.run(16min);
        CHECK(world.store.claims.empty());
        // By the clock of the frozen instance the deadline expires only now; the claim request was never sent.
        world.thaw(2);
        world.run(SettleTime);
        CHECK(world.runsOf(key) == 1);
    }
    SECTION("an owner that was frozen with a pending request cannot write the claim below the floor")
    {
        const ClaimRequest request{1, CommandName("invoice"), key, InstanceId("i0"), 1, 77};
        world.submit(0, key);
        world.run(1s);
        std::vector<ClaimAnswer> answers;
        world.owner(2).requestClaim(request, [&](const ClaimAnswer &answer) { answers.push_back(answer); });
        world.freeze(2);
        world.run(16min);
        world.thaw(2);
        world.run(1s);
        REQUIRE(answers.size() == 1);
        CHECK(errcName(answers[0].code) == errcName(Errc::KeyExpired));
        CHECK(world.store.claims.empty());
    }
    SECTION("a sweeper with a fast clock only makes keys expire early")
    {
        world.submit(0, key);
        world.run(1s);
        world.runtime(1).freezeFor(24h);
        world.run(2min);
        const std::size_t again = world.submit(2, key);
        world.run(SettleTime);
        CHECK(verdictOf(world.requests[again]) == Verdict::MayHaveRun);
        CHECK(world.runsOf(key) == 1);
    }
    checkInvariants(world);
}

TEST_CASE("Under random faults no key runs twice, and no command reported as not run has run", "[claims][command][faults][drawn]")
{
    const unsigned seed = GENERATE(range(1U, 401U));
    std::mt19937_64 random(seed);
    const auto draw = [&random](std::size_t below) { return static_cast<std::size_t>(random() % below); };
    const std::size_t instances = 2 + draw(4);
    const std::size_t storeFault = draw(30);
    const std::size_t serverFault = draw(40);
    INFO("seed " << seed);
    ClaimWorld world(instances, seed);
    world.storeBehaviour = [&] { return draw(100) < storeFault ? static_cast<StoreBehaviour>(1 + draw(4)) : StoreBehaviour::Works; };
    world.serverBehaviour = [&] { return draw(100) < serverFault ? static_cast<ServerBehaviour>(1 + draw(4)) : ServerBehaviour::Runs; };
    for (int step = 0; step < 60; ++step) {
        const std::size_t instance = draw(instances);
        switch (draw(8)) {
        case 0:
            world.kill(instance);
            break;
        case 1:
            world.freeze(instance);
            break;
        case 2:
            world.thaw(instance);
            world.restart(instance);
            break;
        case 3:
            world.setView(instance, {draw(instances), draw(instances), instance});
            break;
        default:
            world.submit(instance, world.makeKey(0s, "k" + std::to_string(draw(3))), std::chrono::milliseconds(20 + draw(600)));
        }
        world.run(std::chrono::milliseconds(draw(80)));
    }
    world.storeBehaviour = [] { return StoreBehaviour::Works; };
    for (std::size_t instance = 0; instance < instances; ++instance) {
        world.thaw(instance);
        world.restart(instance);
    }
    world.run(SettleTime);
    checkInvariants(world);
}
