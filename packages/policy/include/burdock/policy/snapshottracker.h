#pragma once

#include <burdock/values/snapshot.h>
#include <burdock/values/subrequest.h>

#include <optional>
#include <unordered_map>

namespace Burdock
{

/// Tracks which index versions each server reports to hold, and chooses the version that a query reads.
///
/// Version windows arrive with every reply and report and may be outdated. A server that no longer holds a requested
/// version refuses the request, and the query restarts.
class SnapshotTracker
{
public:
    /// Stores the versions in the report; a report without versions changes nothing.
    void update(const ServerReport &report);

    /// The version that covers the largest part of the key space, the newest if several do; version 0 if no window is known.
    SnapshotId pin(const IndexName &index, const ShardMap &map) const;

    /// False if the server is known not to hold the version; true for versions newer than its last report.
    bool mayHold(const ServerId &server, const IndexName &index, std::uint64_t version) const;

    /// True if the window of at least one replica is known.
    bool hasKnownWindow(const IndexName &index, const Shard &shard) const;

private:
    const VersionWindow *window(const ServerId &server, const IndexName &index) const;
    std::uint64_t coveredKeys(const IndexName &index, const ShardMap &map, std::uint64_t version) const;

    std::unordered_map<ServerId, std::vector<std::pair<IndexName, VersionWindow>>> windows_;
};

} // namespace Burdock
