#include <burdock/policy/rendezvous.h>

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace Burdock
{

std::uint64_t rendezvousHash(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t node)
{
    return XXH3_64bits_withSeed(&node, sizeof(node), key);
}

std::vector<InstanceId> rendezvousOrder(std::string_view key, const std::vector<InstanceId> &nodes)
{
    return rendezvousFirst(key, nodes, nodes.size());
}

std::vector<InstanceId> rendezvousFirst(std::string_view key, const std::vector<InstanceId> &nodes, std::size_t count)
{
    const std::uint64_t keyHash = rendezvousHash(key);
    std::vector<std::pair<std::uint64_t, const InstanceId *>> weighted;
    weighted.reserve(nodes.size());
    for (const InstanceId &node : nodes) {
        weighted.emplace_back(rendezvousWeight(keyHash, rendezvousHash(node.text())), &node);
    }
    const auto before = [](const auto &a, const auto &b) { return a.first != b.first ? a.first > b.first : *a.second < *b.second; };
    const std::size_t resultSize = std::min(count, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(resultSize), weighted.end(), before);
    std::vector<InstanceId> order;
    for (std::size_t index = 0; index < resultSize; ++index) {
        order.push_back(*weighted[index].second);
    }
    return order;
}

} // namespace Burdock
