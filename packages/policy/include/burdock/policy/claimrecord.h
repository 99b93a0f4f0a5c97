#pragma once

#include <burdock/policy/claimkey.h>
#include <burdock/values/claim.h>

#include <cstdint>
#include <string>
#include <tuple>

namespace Burdock
{

/// How far a claimed command has come, as far as the store knows.
enum class ClaimState {
    /// Claimed; it may run, or may have run.
    Claimed,
    /// It ran, with the outcome recorded.
    Ran,
    /// Its claimant said that it did not run and will not; the key may be claimed anew.
    Released,
};

/// What the store keeps of one idempotency key.
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

    /// True where both records stand for the same ask.
    bool isSameRequest(const ClaimRecord &other) const
    {
        return claimant == other.claimant && incarnation == other.incarnation && nonce == other.nonce;
    }
};

/// A record as found, with the store's revision of its last change.
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

/// The first bucket of a command that is still remembered. Revision 0: never stored, and then bucket 0.
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
