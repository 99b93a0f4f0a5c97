#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Burdock
{

/// Gives each server one node, so that no node gets more than `maxPerNode`: rendezvous hashing with bounded loads.
///
/// Each server asks the nodes in its rendezvous order; a node that is lastProposal by too many keeps those of the highest weight
/// (deferred acceptance). The outcome does not depend on the order of the servers or nodes. Servers and nodes are
/// given by their rendezvousHash; the result holds a node's place for each server. `maxPerNode` times the nodes must be at least
/// the servers.
std::vector<std::size_t> assignBounded(const std::vector<std::uint64_t> &servers, const std::vector<std::uint64_t> &nodes, std::size_t maxPerNode);

} // namespace Burdock
