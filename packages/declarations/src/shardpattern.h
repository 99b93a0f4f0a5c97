#pragma once

#include <burdock/values/shardmap.h>

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace Burdock
{

/// The short form of a shard map: shards of equal size, and a pattern for the server name of each replica.
///
/// `{shard}` and `{replica}` stand for numbers from 0; `{shard+replica}` is their sum modulo the number of shards, so
/// that each server holds several shards.
struct ShardPattern
{
    std::uint32_t shards = 0;
    std::uint32_t replicas = 0;
    std::string servers;

    auto fields() const
    {
        return std::tie(shards, replicas, servers);
    }

    /// Returns the shards, or a message that says what is wrong with the pattern.
    tl::expected<std::vector<Shard>, std::string> expand() const;
};

} // namespace Burdock
