#include "keptlinks.h"

#include <burdock/daemon/claimrouter.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>

using namespace Burdock;

namespace
{

/// Commits everything at once.
class ReadyStore final : public ClaimStorePort
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

struct Bench
{
    ManualRuntime runtime;
    KeptLinks links;
    ReadyStore store;
    ClaimOwner owner{runtime, store};
    std::vector<InstanceId> owners{InstanceId("peer"), InstanceId("gone"), InstanceId("self")};
    ClaimRouter router{runtime, links, owner, InstanceId("self"), [this](std::size_t) { return owners; }};
    std::vector<std::string> answers;

    void ask(std::uint64_t nonce, std::size_t attempt)
    {
        router.requestClaim(ClaimRequest{0, CommandName("invoice"), "100-a", InstanceId("self"), 1, nonce}, attempt, [this](const ClaimAnswer &answer) {
            answers.emplace_back(errcName(answer.code));
        });
        CHECK(answers.empty());
    }
};

} // namespace

TEST_CASE("Asks for claims go to the owner of the attempt", "[claims][router]")
{
    Bench bench;
    SECTION("a peer, whose answer is matched by owner and nonce")
    {
        bench.ask(5, 0);
        REQUIRE(bench.links.sent.size() == 1);
        CHECK(std::get<ClaimRequest>(bench.links.sent[0].second).number == 5);
        // To another's ask, to an ask of an earlier incarnation, and from one who was not asked.
        bench.router.answerArrived(InstanceId("peer"), ClaimAnswer{1, Errc::Ok, false, {}});
        bench.router.answerArrived(InstanceId("other"), ClaimAnswer{5, Errc::Ok, false, {}});
        CHECK(bench.answers.empty());
        bench.router.answerArrived(InstanceId("peer"), ClaimAnswer{5, Errc::Ok, false, {}});
        bench.router.answerArrived(InstanceId("peer"), ClaimAnswer{5, Errc::Ok, false, {}});
        CHECK(bench.answers == std::vector<std::string>{"ok"});
    }
    SECTION("a peer whose link breaks or who stays silent")
    {
        bench.ask(5, 0);
        if (GENERATE(true, false)) {
            bench.router.peerLost(InstanceId("other"));
            CHECK(bench.answers.empty());
            bench.router.peerLost(InstanceId("peer"));
        } else {
            bench.runtime.advance(std::chrono::seconds(10));
        }
        CHECK(bench.answers == std::vector<std::string>{"unavailable"});
    }
    SECTION("a peer that cannot be reached, or no owner left")
    {
        bench.ask(5, GENERATE(1, 3));
        bench.runtime.advance(Duration{0});
        CHECK(bench.answers == std::vector<std::string>{"unavailable"});
    }
    SECTION("this instance itself")
    {
        bench.ask(5, 2);
        bench.runtime.advance(Duration{0});
        CHECK(bench.answers == std::vector<std::string>{"ok"});
        CHECK(bench.store.writes == 1);
    }
    CHECK(bench.router.pending() == 0);
}

TEST_CASE("Peers' asks and outcomes are served, whoever they take for the owner", "[claims][router]")
{
    Bench bench;
    bench.router.askArrived(InstanceId("peer"), ClaimRequest{9, CommandName("invoice"), "100-a", InstanceId("peer"), 1, 9});
    bench.runtime.advance(Duration{0});
    REQUIRE(bench.links.sent.size() == 1);
    CHECK(std::get<ClaimAnswer>(bench.links.sent[0].second) == ClaimAnswer{9, Errc::Ok, false, {}});
    bench.router.outcomeArrived(ClaimOutcome{CommandName("invoice"), "100-a", 9, Verdict::Ran, "paid"});
    bench.runtime.advance(std::chrono::seconds(1));
    CHECK(bench.store.writes == 2);

    SECTION("an outcome goes to the first owner, or stays here where it cannot be reached")
    {
        bench.links.sent.clear();
        bench.router.record(ClaimOutcome{CommandName("invoice"), "100-b", 1, Verdict::NotRun, {}});
        CHECK(bench.links.sent.size() == 1);
        CHECK(bench.owner.pending() == 0);
        bench.owners = {InstanceId("gone")};
        bench.router.record(ClaimOutcome{CommandName("invoice"), "100-b", 1, Verdict::NotRun, {}});
        CHECK(bench.owner.pending() == 1);
    }
}
