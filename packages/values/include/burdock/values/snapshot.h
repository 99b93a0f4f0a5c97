#pragma once

#include <burdock/values/names.h>
#include <burdock/values/shardmap.h>

#include <cstdint>
#include <memory>
#include <tuple>
#include <vector>

namespace Burdock
{

/// The versions of one index that a server can still answer from, inclusive. Zero means none.
struct VersionWindow
{
    std::uint64_t oldest = 0;
    std::uint64_t newest = 0;

    auto fields() const
    {
        return std::tie(oldest, newest);
    }

    /// Whether the version is in the window.
    bool holds(std::uint64_t version) const
    {
        return version != 0 && oldest <= version && version <= newest;
    }
};

/// The data that an entire answer is read from: one version of one index, partitioned by one shard map.
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

/// The part of the key space that an answer covers.
struct Coverage
{
    /// The number of keys covered, of KeySpace in total.
    std::uint64_t answeredKeys = 0;
    /// The shards that are missing, in the order of the shard map.
    std::vector<ShardId> missing;

    auto fields() const
    {
        return std::tie(answeredKeys, missing);
    }

    /// Returns the fraction of the key space covered, from 0 to 1; exactly 1 only if nothing is missing.
    double fraction() const;

    /// Whether nothing is missing.
    bool complete() const
    {
        return answeredKeys == KeySpace && missing.empty();
    }
};

} // namespace Burdock
