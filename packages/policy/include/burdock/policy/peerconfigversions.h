#pragma once

#include <burdock/values/names.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace Burdock
{

/// Which versions peers say they have in force, and which versions cannot be used here.
class PeerConfigVersions
{
public:
    /// A peer update its version; one that is not above `inForce` is forgotten.
    void update(const InstanceId &peer, std::uint64_t version, std::uint64_t inForce);
    void forget(const InstanceId &peer);

    /// Forgets claims that are not above the version in force.
    void prune(std::uint64_t inForce);

    /// Marks a version as of no use here; false where it was marked before.
    bool markUnusable(std::uint64_t version);

    /// A peer with the highestVersion version that is worth fetching.
    std::optional<InstanceId> peerWithHighest() const;

    /// The highestVersion version that a peer claims and that may be of use here; 0 for none.
    std::uint64_t highestVersion() const;

private:
    std::map<InstanceId, std::uint64_t> versions_;
    /// The latest few; older ones are of no use any more for being low.
    std::set<std::uint64_t> unusable_;
};

} // namespace Burdock
