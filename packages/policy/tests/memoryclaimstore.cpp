#include "memoryclaimstore.h"

#include <iterator>

namespace Burdock
{

ClaimCommit MemoryClaimStore::commit(const ClaimTransaction &transaction)
{
    ++calls;
    ClaimCommit result;
    result.succeeded = true;
    for (const ClaimFloor &floor : transaction.floors) {
        const ClaimFloor standing = floors.emplace(floor.command, ClaimFloor{floor.command, 0, 0}).first->second;
        result.succeeded = result.succeeded && standing.revision == floor.revision;
        result.floors.push_back(standing);
    }
    for (const ClaimWrite &write : transaction.writes) {
        const auto found = claims.find(write.key);
        result.succeeded = result.succeeded && (found == claims.end() ? 0 : found->second.revision) == write.expected;
        if (found != claims.end()) {
            result.claims.push_back(found->second);
        }
    }
    if (!result.succeeded) {
        return result;
    }
    result.revision = ++revision;
    for (const ClaimWrite &write : transaction.writes) {
        claims[write.key] = StoredClaim{write.key, revision, write.record};
    }
    return result;
}

ClaimFloor MemoryClaimStore::raiseFloor(const ClaimFloor &found, std::uint64_t bucket)
{
    ++calls;
    ClaimFloor &floor = floors.emplace(found.command, ClaimFloor{found.command, 0, 0}).first->second;
    if (floor.revision == found.revision) {
        floor = ClaimFloor{found.command, bucket, ++revision};
        for (auto claim = claims.begin(); claim != claims.end();) {
            claim = claim->first.command == found.command && claim->first.bucket < bucket ? claims.erase(claim) : std::next(claim);
        }
    }
    return floor;
}

} // namespace Burdock
