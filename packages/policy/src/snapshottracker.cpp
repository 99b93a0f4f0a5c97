#include <burdock/policy/snapshottracker.h>

#include <algorithm>
#include <set>

namespace Burdock
{

void SnapshotTracker::update(const ServerReport &report)
{
    if (!report.versions.empty()) {
        windows_[report.server] = report.versions;
    }
}

const VersionWindow *SnapshotTracker::window(const ServerId &server, const IndexName &index) const
{
    const auto found = windows_.find(server);
    if (found == windows_.end()) {
        return nullptr;
    }
    for (const auto &[name, window] : found->second) {
        if (name == index) {
            return &window;
        }
    }
    return nullptr;
}

std::uint64_t SnapshotTracker::coveredKeys(const IndexName &index, const ShardMap &map, std::uint64_t version) const
{
    std::uint64_t keys = 0;
    for (const Shard &shard : map.shards) {
        const bool held = std::any_of(shard.replicas.begin(), shard.replicas.end(), [&](const ServerId &server) {
            const VersionWindow *known = window(server, index);
            return known != nullptr && known->holds(version);
        });
        keys += held ? shard.range.width() : 0;
    }
    return keys;
}

SnapshotId SnapshotTracker::pin(const IndexName &index, const ShardMap &map) const
{
    std::set<std::uint64_t> candidates;
    for (const Shard &shard : map.shards) {
        for (const ServerId &server : shard.replicas) {
            if (const VersionWindow *known = window(server, index)) {
                candidates.insert(known->newest);
            }
        }
    }
    SnapshotId best{index, 0, map.generation};
    std::uint64_t bestKeys = 0;
    for (const std::uint64_t version : candidates) {
        const std::uint64_t keys = coveredKeys(index, map, version);
        if (version != 0 && keys >= bestKeys) {
            best.version = version;
            bestKeys = keys;
        }
    }
    return best;
}

bool SnapshotTracker::mayHold(const ServerId &server, const IndexName &index, std::uint64_t version) const
{
    const VersionWindow *known = window(server, index);
    return known == nullptr || known->holds(version) || version > known->newest;
}

bool SnapshotTracker::hasKnownWindow(const IndexName &index, const Shard &shard) const
{
    return std::any_of(shard.replicas.begin(), shard.replicas.end(), [&](const ServerId &server) { return window(server, index) != nullptr; });
}

} // namespace Burdock
