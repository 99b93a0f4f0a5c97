#include <burdock/policy/peerconfigversions.h>

namespace Burdock
{

namespace
{
constexpr std::size_t MaxUnusableVersions = 16;
}

void PeerConfigVersions::update(const InstanceId &peer, std::uint64_t version, std::uint64_t inForce)
{
    if (version > inForce && unusable_.count(version) == 0) {
        versions_[peer] = version;
    } else {
        versions_.erase(peer);
    }
}

void PeerConfigVersions::forget(const InstanceId &peer)
{
    versions_.erase(peer);
}

void PeerConfigVersions::prune(std::uint64_t inForce)
{
    for (auto entry = versions_.begin(); entry != versions_.end();) {
        const bool obsolete = entry->second <= inForce || unusable_.count(entry->second) != 0;
        entry = obsolete ? versions_.erase(entry) : std::next(entry);
    }
}

bool PeerConfigVersions::markUnusable(std::uint64_t version)
{
    const bool isNew = unusable_.insert(version).second;
    if (unusable_.size() > MaxUnusableVersions) {
        unusable_.erase(unusable_.begin());
    }
    return isNew;
}

std::optional<InstanceId> PeerConfigVersions::peerWithHighest() const
{
    std::optional<InstanceId> best;
    std::uint64_t highest = 0;
    for (const auto &[peer, version] : versions_) {
        if (version > highest) {
            highest = version;
            best = peer;
        }
    }
    return best;
}

std::uint64_t PeerConfigVersions::highestVersion() const
{
    std::uint64_t highest = 0;
    for (const auto &[peer, version] : versions_) {
        highest = std::max(highest, version);
    }
    return highest;
}

} // namespace Burdock
