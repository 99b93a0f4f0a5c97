#pragma once

#include <burdock/policy/claimports.h>
#include <burdock/store/store.h>

#include <string>

namespace Burdock
{

/// Keeps claims in the platform's store, one key for each idempotency key; see docs/notes/claims.md.
class ClaimStoreAdapter final : public ClaimStorePort
{
public:
    explicit ClaimStoreAdapter(Store &store);

    void commit(const ClaimTransaction &transaction, Callback<ClaimCommit> done) override;
    void raiseFloor(const ClaimFloor &found, std::uint64_t bucket, Callback<ClaimFloor> done) override;

private:
    Store &store_;
};

/// The store's key of a claim: `burdock/claims/COMMAND/b/BUCKET/KEY`, the bucket with 20 digits. Never changes.
std::string claimStoreKey(const ClaimKey &key);

/// The store's key of a command's floor: `burdock/claims/COMMAND/floor`.
std::string claimFloorStoreKey(const CommandName &command);

/// A claim's record as stored, in JSON.
std::string encodeClaimRecord(const ClaimRecord &record);

/// Reads a record. One that cannot be read counts as claimed by somebody unknown, so that nothing runs on its strength.
ClaimRecord decodeClaimRecord(const std::string &text);

} // namespace Burdock
