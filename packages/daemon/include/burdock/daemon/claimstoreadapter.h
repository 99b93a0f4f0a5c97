#pragma once

#include <burdock/policy/claimports.h>
#include <burdock/store/store.h>

#include <string>

namespace Burdock
{

/// Stores claims in the platform's store, with one store key per idempotency key; see docs/notes/claims.md.
class ClaimStoreAdapter final : public ClaimStorePort
{
public:
    explicit ClaimStoreAdapter(Store &store);

    void commit(const ClaimTransaction &transaction, Callback<ClaimCommit> done) override;
    void raiseFloor(const ClaimFloor &found, std::uint64_t bucket, Callback<ClaimFloor> done) override;

private:
    Store &store_;
};

/// Returns the store key of a claim: `burdock/claims/COMMAND/b/BUCKET/KEY`, with BUCKET padded to 20 digits. The format is
/// permanent.
std::string claimStoreKey(const ClaimKey &key);

/// Returns the store key of a command's floor: `burdock/claims/COMMAND/floor`.
std::string claimFloorStoreKey(const CommandName &command);

/// Encodes a claim record as the JSON text that is stored.
std::string encodeClaimRecord(const ClaimRecord &record);

/// Decodes a stored record. A malformed record counts as claimed by an unknown claimant, so that no command runs because of it.
ClaimRecord decodeClaimRecord(const std::string &text);

} // namespace Burdock
