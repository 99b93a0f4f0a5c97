#pragma once

#include <burdock/policy/claimkey.h>
#include <burdock/values/claim.h>

#include <cstdint>
#include <string>
#include <tuple>

namespace Burdock
{

/// The progress of a claimed command as recorded in the store.
enum class ClaimState {
    /// The key is claimed; the command may run or may have run.
    Claimed,
    /// The command ran, and its outcome is recorded.
    Ran,
    /// The claimant reported that the command did not run and will not; the key may be claimed again.
    Released,
};

/// The stored record of one idempotency key.
struct ClaimRecord
{
    InstanceId claimant;
    std::uint64_t incarnation = 0;
    std::uint64_t nonce = 0;
    ClaimState state = ClaimState::Claimed;
    std::string outcome;

    auto fields() const
    {
        return std::tie(claimant, incarnation, nonce, state, outcome);
    }

    /// Whether both records belong to the same claim request.
    bool isSameRequest(const ClaimRecord &other) const
    {
        return claimant == other.claimant && incarnation == other.incarnation && nonce == other.nonce;
    }
};

/// A record read from the store, with the store revision of its last change.
struct StoredClaim
{
    ClaimKey key;
    std::int64_t revision = 0;
    ClaimRecord record;

    auto fields() const
    {
        return std::tie(key, revision, record);
    }
};

/// The oldest bucket of a command whose claims are kept. Revision 0 means that the floor was never stored; the bucket is
/// 0 then.
struct ClaimFloor
{
    CommandName command;
    std::uint64_t bucket = 0;
    std::int64_t revision = 0;

    auto fields() const
    {
        return std::tie(command, bucket, revision);
    }
};

} // namespace Burdock
