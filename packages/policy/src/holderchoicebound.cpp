#include "holderchoicebound.h"

#include <burdock/policy/rendezvous.h>

#include <functional>
#include <limits>
#include <optional>
#include <queue>
#include <utility>

namespace Burdock
{

namespace
{

using WeightedIndex = std::pair<std::uint64_t, std::size_t>;

/// Returns the node that follows `below` in the server's order of descending weight.
std::optional<WeightedIndex> nextNode(std::uint64_t server, const std::vector<std::uint64_t> &nodes, const WeightedIndex &below)
{
    std::optional<WeightedIndex> best;
    for (std::size_t node = 0; node < nodes.size(); ++node) {
        const WeightedIndex candidate{rendezvousWeight(server, nodes[node]), node};
        if (candidate < below && (!best || *best < candidate)) {
            best = candidate;
        }
    }
    return best;
}

} // namespace

std::vector<std::size_t> assignBounded(const std::vector<std::uint64_t> &servers, const std::vector<std::uint64_t> &nodes, std::size_t maxPerNode)
{
    constexpr WeightedIndex Above{std::numeric_limits<std::uint64_t>::max(), std::numeric_limits<std::size_t>::max()};
    using AcceptedServers = std::priority_queue<WeightedIndex, std::vector<WeightedIndex>, std::greater<>>;
    std::vector<AcceptedServers> accepted(nodes.size());
    std::vector<WeightedIndex> lastProposal(servers.size(), Above);
    std::vector<std::size_t> unassigned;
    for (std::size_t server = 0; server < servers.size(); ++server) {
        unassigned.push_back(server);
    }
    while (!unassigned.empty()) {
        const std::size_t server = unassigned.back();
        unassigned.pop_back();
        const auto next = nextNode(servers[server], nodes, lastProposal[server]);
        if (!next) {
            continue;
        }
        lastProposal[server] = *next;
        AcceptedServers &acceptedHere = accepted[next->second];
        acceptedHere.emplace(next->first, server);
        if (acceptedHere.size() > maxPerNode) {
            unassigned.push_back(acceptedHere.top().second);
            acceptedHere.pop();
        }
    }
    std::vector<std::size_t> assigned;
    assigned.reserve(lastProposal.size());
    for (const WeightedIndex &last : lastProposal) {
        assigned.push_back(last.second);
    }
    return assigned;
}

} // namespace Burdock
