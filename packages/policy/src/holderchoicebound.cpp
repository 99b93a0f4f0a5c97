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

using Weighed = std::pair<std::uint64_t, std::size_t>;

/// The node of the highest weight that comes after the one of weight `below` in the server's order.
std::optional<Weighed> nextNode(std::uint64_t server, const std::vector<std::uint64_t> &nodes, const Weighed &below)
{
    std::optional<Weighed> best;
    for (std::size_t node = 0; node < nodes.size(); ++node) {
        const Weighed weighed{rendezvousWeight(server, nodes[node]), node};
        if (weighed < below && (!best || *best < weighed)) {
            best = weighed;
        }
    }
    return best;
}

} // namespace

std::vector<std::size_t> assignBounded(const std::vector<std::uint64_t> &servers, const std::vector<std::uint64_t> &nodes, std::size_t most)
{
    constexpr Weighed Above{std::numeric_limits<std::uint64_t>::max(), std::numeric_limits<std::size_t>::max()};
    using Held = std::priority_queue<Weighed, std::vector<Weighed>, std::greater<>>;
    std::vector<Held> held(nodes.size());
    std::vector<Weighed> asked(servers.size(), Above);
    std::vector<std::size_t> waiting;
    for (std::size_t server = 0; server < servers.size(); ++server) {
        waiting.push_back(server);
    }
    while (!waiting.empty()) {
        const std::size_t server = waiting.back();
        waiting.pop_back();
        const auto next = nextNode(servers[server], nodes, asked[server]);
        if (!next) {
            continue;
        }
        asked[server] = *next;
        Held &holding = held[next->second];
        holding.emplace(next->first, server);
        if (holding.size() > most) {
            waiting.push_back(holding.top().second);
            holding.pop();
        }
    }
    std::vector<std::size_t> assigned;
    assigned.reserve(asked.size());
    for (const Weighed &last : asked) {
        assigned.push_back(last.second);
    }
    return assigned;
}

} // namespace Burdock
