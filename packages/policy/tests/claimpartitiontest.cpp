#include "claimworld.h"

#include <burdock/charts/chart.h>

#include <catch2/catch.hpp>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

/// A store that answers only when the test lets it.
class ManualStore final : public ClaimStorePort
{
public:
    void commit(const ClaimTransaction &transaction, Callback<ClaimCommit> done) override
    {
        transactions.push_back(transaction);
        pendingCallbacks.push_back(std::move(done));
    }

    void raiseFloor(const ClaimFloor &, std::uint64_t, Callback<ClaimFloor>) override
    {
    }

    /// Applies the pending transaction and answers it, with a timeout if the reply is lost.
    void execute(bool replyLost = false)
    {
        const ClaimCommit result = state.commit(transactions.back());
        answer(replyLost ? Result<ClaimCommit>(mayHaveRun(Errc::DeadlineExceeded, "timeout")) : result);
    }

    void answer(const Result<ClaimCommit> &result)
    {
        REQUIRE_FALSE(pendingCallbacks.empty());
        const auto done = std::exchange(pendingCallbacks, {}).back();
        done(result);
    }

    MemoryClaimStore state;
    std::vector<ClaimTransaction> transactions;
    std::vector<Callback<ClaimCommit>> pendingCallbacks;
};

struct Bench
{
    ManualRuntime runtime;
    ManualStore store;
    ClaimCounters counters;
    ClaimSettings settings;
    std::unique_ptr<ClaimPartition> partition;
    std::map<std::uint64_t, ClaimAnswer> answers;

    Bench()
    {
        reopen();
    }

    void reopen()
    {
        partition = std::make_unique<ClaimPartition>(runtime, store, counters, settings);
    }

    void requestClaim(std::uint64_t nonce, const std::string &key)
    {
        partition->requestClaim(ClaimRequest{nonce, CommandName("invoice"), "100-" + key, InstanceId("i"), 1, nonce},
                                [this, nonce](const ClaimAnswer &answer) { answers[nonce] = answer; });
    }

    void record(std::uint64_t nonce, const std::string &key, Verdict verdict, const std::string &outcome = {})
    {
        partition->record(ClaimOutcome{CommandName("invoice"), "100-" + key, nonce, verdict, outcome});
    }

    std::string codeOf(std::uint64_t nonce) const
    {
        return answers.count(nonce) == 0 ? "none" : std::string(errcName(answers.at(nonce).code));
    }

    /// Advances the time and executes transactions until none is pending.
    void settle()
    {
        do {
            runtime.advance(1s);
            if (!store.pendingCallbacks.empty()) {
                store.execute();
            }
        } while (!store.pendingCallbacks.empty() || runtime.pending() > 0);
    }
};

} // namespace

TEST_CASE("Claims that arrive together are written in one transaction", "[claims][partition]")
{
    Bench bench;
    for (std::uint64_t nonce = 1; nonce <= 50; ++nonce) {
        bench.requestClaim(nonce, std::to_string(nonce));
    }
    bench.runtime.advance(0ms);
    REQUIRE(bench.store.transactions.size() == 1);
    CHECK(bench.store.transactions[0].writes.size() == 50);
    CHECK(bench.codeOf(1) == "none");
    bench.store.execute();
    CHECK(bench.codeOf(1) == "ok");
    CHECK(bench.codeOf(50) == "ok");

    SECTION("the next commit waits for the commit interval and for the previous commit")
    {
        bench.requestClaim(51, "51");
        bench.runtime.advance(bench.settings.commitInterval - 1us);
        CHECK(bench.store.transactions.size() == 1);
        bench.runtime.advance(1us);
        CHECK(bench.store.transactions.size() == 2);
        bench.requestClaim(52, "52");
        bench.runtime.advance(1s);
        CHECK(bench.store.transactions.size() == 2);
    }
    SECTION("outcomes are committed together with claims")
    {
        bench.record(1, "1", Verdict::Ran, "paid");
        bench.requestClaim(51, "51");
        bench.settle();
        CHECK(bench.store.transactions.size() == 2);
        bench.requestClaim(52, "1");
        bench.settle();
        CHECK(bench.codeOf(52) == "claimedElsewhere");
        CHECK(bench.answers[52].outcome == "paid");
    }
    SECTION("a transaction stays within the limits of operations and bytes")
    {
        bench.settings.maxBytesPerCommit = 3000;
        bench.reopen();
        for (std::uint64_t nonce = 100; nonce < 400; ++nonce) {
            bench.requestClaim(nonce, std::to_string(nonce));
        }
        bench.settle();
        for (const ClaimTransaction &transaction : bench.store.transactions) {
            CHECK(transaction.writes.size() + transaction.floors.size() <= 120);
        }
        CHECK(bench.store.transactions[1].writes.size() < 12);
        CHECK(bench.codeOf(399) == "ok");
    }
}

TEST_CASE("An already claimed key does not delay the other keys of its transaction", "[claims][partition]")
{
    Bench bench;
    bench.requestClaim(1, "taken");
    bench.settle();
    for (std::uint64_t nonce = 2; nonce <= 20; ++nonce) {
        bench.requestClaim(nonce, nonce == 10 ? "taken" : std::to_string(nonce));
    }
    bench.requestClaim(21, "2");
    bench.settle();
    CHECK(bench.codeOf(10) == "claimedElsewhere");
    CHECK(bench.codeOf(2) == "ok");
    CHECK(bench.codeOf(20) == "ok");
    CHECK(bench.codeOf(21) == "claimedElsewhere");
    // The transaction with `taken`, that of its remaining items, and the one with the repeated `2`.
    CHECK(bench.counters.commits == 1 + 3);
}

TEST_CASE("A lost reply is resolved by reading back the nonce", "[claims][partition][faults]")
{
    Bench bench;
    bench.requestClaim(1, "a");
    bench.requestClaim(2, "b");
    bench.runtime.advance(0ms);

    SECTION("the write had taken effect")
    {
        bench.store.execute(true);
        bench.settle();
        CHECK(bench.codeOf(1) == "ok");
        CHECK(bench.codeOf(2) == "ok");
    }
    SECTION("the write had not taken effect, and another owner claimed one key in the meantime")
    {
        bench.store.answer(mayHaveRun(Errc::DeadlineExceeded, "timeout"));
        ClaimRecord other;
        other.nonce = 99;
        bench.store.state.commit(ClaimTransaction{{}, {ClaimWrite{bench.store.transactions[0].writes[0].key, 0, other}}});
        bench.settle();
        CHECK(bench.codeOf(1) == "claimedElsewhere");
        CHECK(bench.codeOf(2) == "ok");
    }
    SECTION("nothing is granted while the result is unknown, and requests fail with Unavailable after the last attempt")
    {
        for (std::uint32_t attempt = 0; attempt < bench.settings.maxAttempts; ++attempt) {
            CHECK(bench.codeOf(1) == "none");
            bench.runtime.advance(1s);
            bench.store.answer(attempt == 0 ? mayHaveRun(Errc::ConnectionLost, "lost") : notRun(Errc::Unavailable, "down"));
        }
        CHECK(bench.codeOf(1) == "unavailable");
        CHECK(bench.store.state.claims.empty());
    }
    SECTION("another owner resolves it by the same nonce")
    {
        bench.store.execute(true);
        bench.reopen();
        bench.requestClaim(1, "a");
        bench.settle();
        CHECK(bench.codeOf(1) == "ok");
    }
}

TEST_CASE("A release affects only the claim of its own request", "[claims][partition]")
{
    Bench bench;
    SECTION("a queued request is not written")
    {
        bench.requestClaim(1, "a");
        bench.record(1, "a", Verdict::NotRun);
        bench.settle();
        CHECK(bench.store.transactions.empty());
    }
    SECTION("a written claim is released, also by an owner that did not write it")
    {
        bench.requestClaim(1, "a");
        bench.settle();
        const bool sameOwner = GENERATE(true, false);
        if (!sameOwner) {
            bench.reopen();
        }
        bench.record(1, "a", Verdict::NotRun);
        bench.requestClaim(2, "a");
        bench.settle();
        CHECK(bench.codeOf(2) == "ok");
        CHECK(bench.store.state.claims.begin()->second.record.claimant == InstanceId("i"));
    }
    SECTION("the claim of another request is kept")
    {
        bench.requestClaim(1, "a");
        bench.settle();
        bench.record(2, "a", Verdict::NotRun);
        bench.settle();
        CHECK(bench.store.state.claims.begin()->second.record.state == ClaimState::Claimed);
        CHECK(bench.counters.outcomesDropped == 1);
    }
}

TEST_CASE("Requests above the pending limit and malformed keys are rejected", "[claims][partition]")
{
    Bench bench;
    bench.settings.maxPending = 2;
    bench.reopen();
    bench.requestClaim(1, "a");
    bench.requestClaim(2, "b");
    bench.requestClaim(3, "c");
    CHECK(bench.codeOf(3) == "overloaded");
    bench.partition->requestClaim(ClaimRequest{4, CommandName("invoice"), "no-time", InstanceId("i"), 1, 4},
                                  [&](const ClaimAnswer &answer) { bench.answers[4] = answer; });
    CHECK(bench.codeOf(4) == "badRequest");
}

TEST_CASE("The creation time is extracted from a key", "[claims][key]")
{
    CHECK(claimKeyTime("1764828000-x")->time_since_epoch() == 1764828000s);
    CHECK(claimKeyTime("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")->time_since_epoch() == 1645557742000ms);
    for (const std::string key :
         {"", "abc", "-5", "17648280000000-x", "1764828000", "1764828000-", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "x7f22e2x-79b0-7cc3-98c4-dc0c0c07398f"}) {
        INFO(key);
        CHECK_FALSE(claimKeyTime(key));
    }
    for (const std::string &key : {std::string("5-a b"), "5-" + std::string(300, 'x'), std::string("5-\xff")}) {
        CHECK_FALSE(parseClaimKey(CommandName("c"), key));
    }
}

TEST_CASE("The chart commandclaim is well formed", "[claims][chart]")
{
    CHECK(chartFaults(chartNamed("commandclaim")).empty());
}
