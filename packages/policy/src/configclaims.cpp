#include <burdock/policy/configclaims.h>

namespace Burdock
{

namespace
{
constexpr std::size_t RememberedUnusable = 16;
}

void ConfigClaims::told(const InstanceId &peer, std::uint64_t version, std::uint64_t inForce)
{
    if (version > inForce && unusable_.count(version) == 0) {
        claims_[peer] = version;
    } else {
        claims_.erase(peer);
    }
}

void ConfigClaims::forget(const InstanceId &peer)
{
    claims_.erase(peer);
}

void ConfigClaims::prune(std::uint64_t inForce)
{
    for (auto claim = claims_.begin(); claim != claims_.end();) {
        const bool useless = claim->second <= inForce || unusable_.count(claim->second) != 0;
        claim = useless ? claims_.erase(claim) : std::next(claim);
    }
}

bool ConfigClaims::markUnusable(std::uint64_t version)
{
    const bool isNew = unusable_.insert(version).second;
    if (unusable_.size() > RememberedUnusable) {
        unusable_.erase(unusable_.begin());
    }
    return isNew;
}

std::optional<InstanceId> ConfigClaims::best() const
{
    std::optional<InstanceId> best;
    std::uint64_t highest = 0;
    for (const auto &[peer, version] : claims_) {
        if (version > highest) {
            highest = version;
            best = peer;
        }
    }
    return best;
}

std::uint64_t ConfigClaims::highest() const
{
    std::uint64_t highest = 0;
    for (const auto &[peer, version] : claims_) {
        highest = std::max(highest, version);
    }
    return highest;
}

} // namespace Burdock
