#pragma once

#include <burdock/values/names.h>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Burdock
{

/// The hash of a node or key for rendezvousWeight. Callers that weigh a node for many keys can cache it.
std::uint64_t rendezvousHash(std::string_view text);

/// The weight of a node for a key, both given by their rendezvousHash. The node with the highest weight ranks first.
std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t node);

/// All nodes by descending weight for the key: rendezvous hashing with XXH3.
///
/// The order depends only on the names, so every process that sees the same nodes computes the same order. Adding or
/// removing one of N nodes moves only the keys that this node gains or loses, about one in N.
std::vector<InstanceId> rendezvousOrder(std::string_view key, const std::vector<InstanceId> &nodes);

/// The first `count` nodes of rendezvousOrder, without sorting the others.
std::vector<InstanceId> rendezvousFirst(std::string_view key, const std::vector<InstanceId> &nodes, std::size_t count);

} // namespace Burdock
