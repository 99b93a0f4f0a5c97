#pragma once

#include <burdock/policy/claimports.h>

#include <map>

namespace Burdock
{

/// An in-memory claim store with compare-and-swap on floors and records.
class MemoryClaimStore
{
public:
    ClaimCommit commit(const ClaimTransaction &transaction);
    ClaimFloor raiseFloor(const ClaimFloor &found, std::uint64_t bucket);

    std::map<ClaimKey, StoredClaim> claims;
    std::map<CommandName, ClaimFloor> floors;
    std::int64_t revision = 1;
    std::uint64_t calls = 0;
};

} // namespace Burdock
