#pragma once

#include <burdock/values/snapshot.h>
#include <burdock/values/subrequest.h>

#include <optional>
#include <unordered_map>

namespace Burdock
{

/// Remembers which index versions each server says it can answer from, and picks the version that a query reads.
///
/// The windows come with every reply and report. They lag; a server that no longer holds a version says so,
/// and the query that named it starts again.
class SnapshotTracker
{
public:
    /// Takes over what a server was reported to hold.
    void update(const ServerReport &report);

    /// The newest version that covers most of the key space; version 0 where no server's window is known.
    SnapshotId pin(const IndexName &index, const ShardMap &map) const;

    /// False where the server is known not to hold the version.
    bool mayHold(const ServerId &server, const IndexName &index, std::uint64_t version) const;

    /// True where at least one replica's window is known.
    bool hasKnownWindow(const IndexName &index, const Shard &shard) const;

private:
    const VersionWindow *window(const ServerId &server, const IndexName &index) const;
    std::uint64_t coveredKeys(const IndexName &index, const ShardMap &map, std::uint64_t version) const;

    std::unordered_map<ServerId, std::vector<std::pair<IndexName, VersionWindow>>> windows_;
};

} // namespace Burdock
