#pragma once

#include <burdock/policy/claimrecord.h>

#include <cstddef>
#include <functional>
#include <vector>

namespace Burdock
{

/// One write of a claim transaction: the record replaces the one of that revision; 0: there is none yet.
struct ClaimWrite
{
    ClaimKey key;
    std::int64_t expected = 0;
    ClaimRecord record;
};

/// Writes that happen together if every floor and every record still is as expected, or not at all.
struct ClaimTransaction
{
    std::vector<ClaimFloor> floors;
    std::vector<ClaimWrite> writes;
};

/// How a claim transaction ended. Where it did not succeed, what was found instead in the same step.
struct ClaimCommit
{
    bool succeeded = false;
    /// The revision of all records written.
    std::int64_t revision = 0;
    std::vector<ClaimFloor> floors;
    std::vector<StoredClaim> claims;
};

/// The owner's way to the platform's store.
class ClaimStorePort
{
public:
    virtual ~ClaimStorePort() = default;

    template<class T>
    using Callback = std::function<void(Result<T>)>;

    /// `done` is called once, never from within. A failure's verdict says whether it may have taken effect.
    virtual void commit(const ClaimTransaction &transaction, Callback<ClaimCommit> done) = 0;

    /// Raises a command's floor and forgets all claims below it, if the floor still has the revision of `found`.
    /// Gives the floor that stands after it.
    virtual void raiseFloor(const ClaimFloor &found, std::uint64_t bucket, Callback<ClaimFloor> done) = 0;
};

/// The entry's way to the owners of claim partitions.
class ClaimPort
{
public:
    virtual ~ClaimPort() = default;

    using Callback = std::function<void(const ClaimAnswer &)>;

    /// Asks the owner that stands at place `attempt` for the key's partition. The same ask may go to several owners:
    /// its nonce makes it one claim. `done` is called at most once, never from within; Unavailable where no owner is
    /// left to ask or the link is lost. The port chooses `request.number`.
    virtual void requestClaim(const ClaimRequest &request, std::size_t attempt, Callback done) = 0;

    /// Tells the owner how the command ended; may be lost.
    virtual void record(const ClaimOutcome &outcome) = 0;
};

} // namespace Burdock
