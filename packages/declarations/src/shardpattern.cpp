#include "shardpattern.h"

#include <algorithm>

namespace Burdock
{

namespace
{

constexpr std::uint32_t MaxShards = 65536;
constexpr std::uint32_t MaxReplicas = 16;

/// Replaces the placeholders; empty if one of them is unknown.
std::string serverName(const ShardPattern &pattern, std::uint32_t shard, std::uint32_t replica)
{
    std::string name;
    std::size_t at = 0;
    while (at < pattern.servers.size()) {
        const std::size_t open = pattern.servers.find('{', at);
        name += pattern.servers.substr(at, open - at);
        if (open == std::string::npos) {
            return name;
        }
        const std::size_t close = pattern.servers.find('}', open);
        const std::string field = close == std::string::npos ? std::string() : pattern.servers.substr(open + 1, close - open - 1);
        if (field == "shard") {
            name += std::to_string(shard);
        } else if (field == "replica") {
            name += std::to_string(replica);
        } else if (field == "shard+replica") {
            name += std::to_string((shard + replica) % pattern.shards);
        } else {
            return {};
        }
        at = close + 1;
    }
    return name;
}

} // namespace

tl::expected<std::vector<Shard>, std::string> ShardPattern::expand() const
{
    if (shards > MaxShards || replicas > MaxReplicas) {
        return tl::make_unexpected("at most " + std::to_string(MaxShards) + " shards and " + std::to_string(MaxReplicas) + " replicas can be declared");
    }
    std::vector<Shard> expanded;
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
        Shard next{ShardId(std::to_string(shard)), {KeySpace * shard / shards, KeySpace * (shard + 1) / shards}, {}};
        for (std::uint32_t replica = 0; replica < replicas; ++replica) {
            const ServerId server(serverName(*this, shard, replica));
            if (server.empty()) {
                return tl::make_unexpected("the pattern '" + servers + "' may hold {shard}, {replica} and {shard+replica} only");
            }
            if (std::find(next.replicas.begin(), next.replicas.end(), server) != next.replicas.end()) {
                return tl::make_unexpected("the pattern '" + servers + "' gives two replicas of shard " + std::to_string(shard) + " the same server '"
                                           + server.text() + "'");
            }
            next.replicas.push_back(server);
        }
        expanded.push_back(std::move(next));
    }
    return expanded;
}

} // namespace Burdock
