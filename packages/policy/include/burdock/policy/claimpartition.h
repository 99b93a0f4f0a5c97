#pragma once

#include <burdock/policy/claimports.h>
#include <burdock/values/runtime.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace Burdock
{

/// The bounds of group commit.
struct ClaimSettings
{
    /// Between the commits of one partition.
    Duration commitInterval = std::chrono::milliseconds(40);
    /// Claims, outcomes and floors of one commit; the store allows 128.
    std::size_t maxOperationsPerCommit = 120;
    std::size_t maxBytesPerCommit = std::size_t{512} * 1024;
    /// Longer outcomes are not kept.
    std::size_t maxOutcomeBytes = std::size_t{8} * 1024;
    /// Asks and outcomes that wait; above, requests are refused.
    std::size_t maxPending = 5000;
    /// After a lost reply or a failure, before the same writes are tried again.
    Duration retryDelay = std::chrono::milliseconds(50);
    std::uint32_t maxAttempts = 6;
    /// Of how many granted claims the revision is maxRememberedClaims, so that recording the outcome needs no read.
    std::size_t maxRememberedClaims = 10000;
};

/// What the owner of claim partitions has counted since the start.
struct ClaimCounters
{
    std::uint64_t requests = 0;
    std::uint64_t granted = 0;
    std::uint64_t claimedElsewhere = 0;
    std::uint64_t expired = 0;
    /// Asks that were refused because the store could not be had or too many wait.
    std::uint64_t refused = 0;
    std::uint64_t commits = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t lostReplies = 0;
    std::uint64_t outcomes = 0;
    std::uint64_t outcomesDropped = 0;
};

/// Owns one partition of the claims: writes many claims in one transaction of the store.
///
/// A claim is granted only on the store's word that the record of this very ask stands: the transaction onCommitSucceeded,
/// or the record that it conflicted with bears the ask's own nonce. Any number of owners of one partition may work at the
/// same time. A transaction that fails is onConflict by what it read back: the keys found taken are answered, the others
/// go into the next one. After a lost reply the same transaction runs again, which reads back what the first one did.
class ClaimPartition
{
public:
    using Answer = std::function<void(const ClaimAnswer &)>;

    ClaimPartition(Runtime &runtime, ClaimStorePort &store, ClaimCounters &counters, const ClaimSettings &settings);
    ~ClaimPartition();
    ClaimPartition(const ClaimPartition &) = delete;
    ClaimPartition &operator=(const ClaimPartition &) = delete;

    /// Queues an ask; `answer` is called once, possibly from within.
    void requestClaim(const ClaimRequest &request, Answer answer);

    /// Queues an outcome. One that says NotRun releases the key, and takes an ask that still waits out of the queue.
    void record(const ClaimOutcome &outcome);

    /// How many requests and outcomes are not settled.
    std::size_t pending() const;

private:
    struct Item;
    using ItemPtr = std::shared_ptr<Item>;
    /// A granted claim, without its outcome.
    struct GrantedClaim
    {
        std::int64_t revision = 0;
        ClaimRecord record;
    };

    void enqueue(ItemPtr item);
    void schedule();
    void commitNextBatch();
    void fillBatch();
    bool dropExpired(const Item &item);
    void commit();
    void onCommitFinished(const Result<ClaimCommit> &result);
    void onCommitSucceeded(std::int64_t revision);
    void onConflict(const ClaimCommit &found);
    void onCommitFailed(const Failure &failure);
    bool resolve(Item &item, const StoredClaim *found);
    bool resolveRequest(Item &item, const StoredClaim &found);
    bool resolveOutcome(Item &item, const StoredClaim &found);
    void abandon(const Item &item);
    void grant(const Item &item, std::int64_t revision);
    void reply(const Item &item, Errc code, const ClaimRecord *found = nullptr);
    void rememberGrant(const ClaimKey &key, GrantedClaim known);
    void applyGrantedClaim(Item &item) const;

    Runtime &runtime_;
    ClaimStorePort &store_;
    ClaimCounters &counters_;
    const ClaimSettings settings_;
    std::deque<ItemPtr> queue_;
    /// The items of the transaction that is under way, in doubt, or onConflict off one that onCommitFailed.
    std::vector<ItemPtr> batch_;
    /// Some earlier try of this batch may have taken effect.
    bool mayHaveCommitted_ = false;
    std::uint32_t batchAttempts_ = 0;
    std::map<CommandName, ClaimFloor> floors_;
    std::map<ClaimKey, GrantedClaim> grantedClaims_;
    std::deque<ClaimKey> grantedOrder_;
    TimePoint nextCommit_{};
    TimerId timer_ = 0;
    std::shared_ptr<bool> alive_;
};

} // namespace Burdock
