#pragma once

#include <burdock/policy/claimrecord.h>

#include <cstddef>
#include <functional>
#include <vector>

namespace Burdock
{

/// One write of a claim transaction. Replaces the record that has the revision `expected`; 0 means that no record exists
/// yet.
struct ClaimWrite
{
    ClaimKey key;
    std::int64_t expected = 0;
    ClaimRecord record;
};

/// Writes that are applied atomically, and only if all floors and records still have their expected revisions.
struct ClaimTransaction
{
    std::vector<ClaimFloor> floors;
    std::vector<ClaimWrite> writes;
};

/// The result of a claim transaction. If it failed, contains the floors and records found in the same step.
struct ClaimCommit
{
    bool succeeded = false;
    /// The revision of all written records.
    std::int64_t revision = 0;
    std::vector<ClaimFloor> floors;
    std::vector<StoredClaim> claims;
};

/// The interface through which the owner accesses the store of the platform.
class ClaimStorePort
{
public:
    virtual ~ClaimStorePort() = default;

    template<class T>
    using Callback = std::function<void(Result<T>)>;

    /// `done` is called once, and never before this function returns. The verdict of a failure states whether the
    /// transaction may have taken effect.
    virtual void commit(const ClaimTransaction &transaction, Callback<ClaimCommit> done) = 0;

    /// Raises the floor of a command and deletes all claims below it, if the floor still has the revision of `found`.
    /// Passes the resulting floor to `done`.
    virtual void raiseFloor(const ClaimFloor &found, std::uint64_t bucket, Callback<ClaimFloor> done) = 0;
};

/// The interface through which an entry instance reaches the owners of claim partitions.
class ClaimPort
{
public:
    virtual ~ClaimPort() = default;

    using Callback = std::function<void(const ClaimAnswer &)>;

    /// Sends the request to the owner at position `attempt` in the list of owners of the key's partition. The same
    /// request may go to several owners; its nonce identifies it as one claim. `done` is called at most once, and never
    /// before this function returns; with Unavailable if no further owner exists or the connection is lost. The port
    /// assigns `request.number`.
    virtual void requestClaim(const ClaimRequest &request, std::size_t attempt, Callback done) = 0;

    /// Sends the outcome of the command to the owner; it may be lost.
    virtual void record(const ClaimOutcome &outcome) = 0;
};

} // namespace Burdock
