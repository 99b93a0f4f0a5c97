#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Burdock
{

/// Assigns one node to each server, with at most `maxPerNode` servers per node: rendezvous hashing with bounded
/// loads.
///
/// Each server proposes to the nodes in its rendezvous order; a node with too many proposals keeps those of the
/// highest weight (deferred acceptance). The result does not depend on the order of the servers or nodes. Servers and
/// nodes are given by their rendezvousHash; the result contains a node index for each server. `maxPerNode` times the
/// number of nodes must be at least the number of servers.
std::vector<std::size_t> assignBounded(const std::vector<std::uint64_t> &servers, const std::vector<std::uint64_t> &nodes, std::size_t maxPerNode);

} // namespace Burdock
