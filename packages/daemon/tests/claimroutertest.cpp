#include "recordinglinks.h"

#include <burdock/daemon/claimrouter.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>

using namespace Burdock;

namespace
{

/// Commits every transaction successfully and synchronously.
class ImmediateStore final : public ClaimStorePort
{
public:
    void commit(const ClaimTransaction &transaction, Callback<ClaimCommit> done) override
    {
        writes += transaction.writes.size();
        done(ClaimCommit{true, 2, {}, {}});
    }
    void raiseFloor(const ClaimFloor &, std::uint64_t, Callback<ClaimFloor>) override
    {
    }

    std::size_t writes = 0;
};

struct Fixture
{
    ManualRuntime runtime;
    RecordingLinks links;
    ImmediateStore store;
    ClaimOwner owner{runtime, store};
    std::vector<InstanceId> owners{InstanceId("peer"), InstanceId("gone"), InstanceId("self")};
    ClaimRouter router{runtime, links, owner, InstanceId("self"), [this](std::size_t) { return owners; }};
    std::vector<std::string> answers;

    void request(std::uint64_t nonce, std::size_t attempt)
    {
        router.requestClaim(ClaimRequest{0, CommandName("invoice"), "100-a", InstanceId("self"), 1, nonce}, attempt, [this](const ClaimAnswer &answer) {
            answers.emplace_back(errcName(answer.code));
        });
        CHECK(answers.empty());
    }
};

} // namespace

TEST_CASE("A claim request goes to the owner with the index of the attempt", "[claims][router]")
{
    Fixture fixture;
    SECTION("the answer of a peer is matched by owner and nonce")
    {
        fixture.request(5, 0);
        REQUIRE(fixture.links.sent.size() == 1);
        CHECK(std::get<ClaimRequest>(fixture.links.sent[0].second).number == 5);
        // Answers with another nonce, as for another request or one of an earlier incarnation, or from an instance that got no request.
        fixture.router.onClaimAnswer(InstanceId("peer"), ClaimAnswer{1, Errc::Ok, false, {}});
        fixture.router.onClaimAnswer(InstanceId("other"), ClaimAnswer{5, Errc::Ok, false, {}});
        CHECK(fixture.answers.empty());
        fixture.router.onClaimAnswer(InstanceId("peer"), ClaimAnswer{5, Errc::Ok, false, {}});
        fixture.router.onClaimAnswer(InstanceId("peer"), ClaimAnswer{5, Errc::Ok, false, {}});
        CHECK(fixture.answers == std::vector<std::string>{"ok"});
    }
    SECTION("a lost link or a timeout gives Unavailable")
    {
        fixture.request(5, 0);
        if (GENERATE(true, false)) {
            fixture.router.onPeerLost(InstanceId("other"));
            CHECK(fixture.answers.empty());
            fixture.router.onPeerLost(InstanceId("peer"));
        } else {
            fixture.runtime.advance(std::chrono::seconds(10));
        }
        CHECK(fixture.answers == std::vector<std::string>{"unavailable"});
    }
    SECTION("an unreachable peer or no remaining owner gives Unavailable")
    {
        fixture.request(5, GENERATE(1, 3));
        fixture.runtime.advance(Duration{0});
        CHECK(fixture.answers == std::vector<std::string>{"unavailable"});
    }
    SECTION("this instance answers from its own ClaimOwner")
    {
        fixture.request(5, 2);
        fixture.runtime.advance(Duration{0});
        CHECK(fixture.answers == std::vector<std::string>{"ok"});
        CHECK(fixture.store.writes == 1);
    }
    CHECK(fixture.router.pending() == 0);
}

TEST_CASE("Claim requests and outcomes of peers are served regardless of who owns the partition", "[claims][router]")
{
    Fixture fixture;
    fixture.router.onClaimRequest(InstanceId("peer"), ClaimRequest{9, CommandName("invoice"), "100-a", InstanceId("peer"), 1, 9});
    fixture.runtime.advance(Duration{0});
    REQUIRE(fixture.links.sent.size() == 1);
    CHECK(std::get<ClaimAnswer>(fixture.links.sent[0].second) == ClaimAnswer{9, Errc::Ok, false, {}});
    fixture.router.onClaimOutcome(ClaimOutcome{CommandName("invoice"), "100-a", 9, Verdict::Ran, "paid"});
    fixture.runtime.advance(std::chrono::seconds(1));
    CHECK(fixture.store.writes == 2);

    SECTION("an outcome goes to the first owner, or is recorded locally if that owner is unreachable")
    {
        fixture.links.sent.clear();
        fixture.router.record(ClaimOutcome{CommandName("invoice"), "100-b", 1, Verdict::NotRun, {}});
        CHECK(fixture.links.sent.size() == 1);
        CHECK(fixture.owner.pending() == 0);
        fixture.owners = {InstanceId("gone")};
        fixture.router.record(ClaimOutcome{CommandName("invoice"), "100-b", 1, Verdict::NotRun, {}});
        CHECK(fixture.owner.pending() == 1);
    }
}
