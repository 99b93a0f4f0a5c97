#pragma once

#include <burdock/values/names.h>

#include <cstdint>
#include <tuple>
#include <vector>

namespace Burdock
{

/// The size of every index's key space: document ids hash to [0, KeySpace).
constexpr std::uint64_t KeySpace = std::uint64_t{1} << 32;

/// A half-open range of the key space.
struct KeyRange
{
    std::uint64_t begin = 0;
    std::uint64_t end = 0;

    auto fields() const
    {
        return std::tie(begin, end);
    }

    /// Returns the number of keys in the range.
    std::uint64_t width() const
    {
        return end > begin ? end - begin : 0;
    }
};

/// One shard: its key range and the servers that each hold all of it.
struct Shard
{
    ShardId id;
    KeyRange range;
    std::vector<ServerId> replicas;

    auto fields() const
    {
        return std::tie(id, range, replicas);
    }
};

/// The partition of an index into shards. `generation` increases with every repartition.
struct ShardMap
{
    std::uint64_t generation = 0;
    std::vector<Shard> shards;

    auto fields() const
    {
        return std::tie(generation, shards);
    }

    /// Whether the shards cover the key space without gap or overlap and each has a replica.
    bool isComplete() const;
};

} // namespace Burdock
