#pragma once

#include <burdock/values/names.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace Burdock
{

/// Tracks the configuration versions that peers report as in force, and the versions that cannot be used by this
/// instance.
class PeerConfigVersions
{
public:
    /// Records the version reported by a peer. If it is not above `inForce` or is unusable, the entry of the peer is
    /// removed.
    void update(const InstanceId &peer, std::uint64_t version, std::uint64_t inForce);
    void forget(const InstanceId &peer);

    /// Removes the entries that are unusable or not above the version in force.
    void prune(std::uint64_t inForce);

    /// Marks a version as unusable by this instance. Returns false if it was marked before.
    bool markUnusable(std::uint64_t version);

    /// Returns a peer that reports the highest version, or nullopt if no peer reports a usable higher version.
    std::optional<InstanceId> peerWithHighest() const;

    /// Returns the highest version that a peer reports and that may be usable here; 0 if there is none.
    std::uint64_t highestVersion() const;

private:
    std::map<InstanceId, std::uint64_t> versions_;
    /// The highest 16 unusable versions. Lower ones are dropped, because a low version is no longer of interest.
    std::set<std::uint64_t> unusable_;
};

} // namespace Burdock
