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

/// Limits and intervals of group commit.
struct ClaimSettings
{
    /// The minimum time between two commits of one partition.
    Duration commitInterval = std::chrono::milliseconds(40);
    /// Claims, outcomes and floors in one commit; the store allows 128.
    std::size_t maxOperationsPerCommit = 120;
    std::size_t maxBytesPerCommit = std::size_t{512} * 1024;
    /// Outcomes longer than this are not stored.
    std::size_t maxOutcomeBytes = std::size_t{8} * 1024;
    /// The number of pending requests and outcomes above which new requests are rejected and new outcomes are dropped.
    std::size_t maxPending = 5000;
    /// The delay before the same writes are retried after a lost reply or a failure.
    Duration retryDelay = std::chrono::milliseconds(50);
    std::uint32_t maxAttempts = 6;
    /// The number of granted claims whose revision is cached, so that recording the outcome needs no read.
    std::size_t maxRememberedClaims = 10000;
};

/// Counters of the owner of claim partitions since the process started.
struct ClaimCounters
{
    std::uint64_t requests = 0;
    std::uint64_t granted = 0;
    std::uint64_t claimedElsewhere = 0;
    std::uint64_t expired = 0;
    /// Requests rejected because they are malformed, the store is unavailable or too many requests are pending.
    std::uint64_t refused = 0;
    std::uint64_t commits = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t lostReplies = 0;
    std::uint64_t outcomes = 0;
    std::uint64_t outcomesDropped = 0;
};

/// Owns one partition of the claims and writes many claims in one store transaction.
///
/// A claim is granted only if the store confirms that the record of this request exists: either the transaction
/// succeeded, or the conflicting record carries the nonce of the request. Any number of owners of one partition may work
/// at the same time. After a conflict, the requests whose keys are already claimed are answered and the remaining items
/// form the next transaction. After a lost reply the same transaction is retried, which reads back the effect of the
/// first attempt.
class ClaimPartition
{
public:
    using Answer = std::function<void(const ClaimAnswer &)>;

    ClaimPartition(Runtime &runtime, ClaimStorePort &store, ClaimCounters &counters, const ClaimSettings &settings);
    ~ClaimPartition();
    ClaimPartition(const ClaimPartition &) = delete;
    ClaimPartition &operator=(const ClaimPartition &) = delete;

    /// Queues a request. `answer` is called once, possibly before this function returns.
    void requestClaim(const ClaimRequest &request, Answer answer);

    /// Queues an outcome. An outcome with the verdict NotRun releases the key; if the request is still queued, it is
    /// removed without an answer instead.
    void record(const ClaimOutcome &outcome);

    /// Returns the number of unsettled requests and outcomes.
    std::size_t pending() const;

private:
    struct Item;
    using ItemPtr = std::shared_ptr<Item>;
    /// A granted claim whose outcome has not been recorded.
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
    /// The items of the transaction that is in flight, has an unknown result, or contains the remaining items of a
    /// transaction that failed.
    std::vector<ItemPtr> batch_;
    /// Whether an earlier attempt to commit this batch may have taken effect.
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
