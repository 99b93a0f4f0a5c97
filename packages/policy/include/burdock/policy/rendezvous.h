#pragma once

#include <burdock/values/names.h>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Burdock
{

/// The hash that stands for a node in rendezvous hashing; worth keeping where the node is weighed against many keys.
std::uint64_t rendezvousHash(std::string_view text);

/// The weight of a node for a key, both given by their rendezvousHash. The node of the highest weight comes first.
std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t node);

/// All nodes by descending weight for the key: rendezvous hashing with XXH3.
///
/// The order depends on the names alone, so everybody who sees the same nodes computes the same order, and adding or
/// removing one node moves only the keys that it gains or loses, one in N of them.
std::vector<InstanceId> rendezvousOrder(std::string_view key, const std::vector<InstanceId> &nodes);

/// The first `count` of rendezvousOrder, without sorting the rest.
std::vector<InstanceId> rendezvousFirst(std::string_view key, const std::vector<InstanceId> &nodes, std::size_t count);

} // namespace Burdock
