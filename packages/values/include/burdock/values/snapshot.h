#pragma once

#include <burdock/values/names.h>
#include <burdock/values/shardmap.h>

#include <cstdint>
#include <memory>
#include <tuple>
#include <vector>

namespace Burdock
{

/// The versions of one index that a server can still answer from, both ends included. Zero means none.
struct VersionWindow
{
    std::uint64_t oldest = 0;
    std::uint64_t newest = 0;

    auto fields() const
    {
        return std::tie(oldest, newest);
    }

    /// True where the version lies in the window.
    bool holds(std::uint64_t version) const
    {
        return version != 0 && oldest <= version && version <= newest;
    }
};

/// What a whole answer is read from: one version of one index, cut by one shard map.
struct SnapshotId
{
    IndexName index;
    std::uint64_t version = 0;
    std::uint64_t mapGeneration = 0;

    auto fields() const
    {
        return std::tie(index, version, mapGeneration);
    }
};

/// Which part of the key space an answer speaks for.
struct Coverage
{
    /// Keys answered, of KeySpace.
    std::uint64_t answeredKeys = 0;
    /// The shards that are missing, in the order of the shard map.
    std::vector<ShardId> missing;

    auto fields() const
    {
        return std::tie(answeredKeys, missing);
    }

    /// The answered part as a number from 0 to 1; exactly 1 only when nothing is missing.
    double fraction() const;

    /// True when nothing is missing.
    bool complete() const
    {
        return answeredKeys == KeySpace && missing.empty();
    }
};

} // namespace Burdock
