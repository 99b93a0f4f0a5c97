#include <burdock/policy/rendezvous.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Burdock;

namespace
{

std::vector<InstanceId> nodes(int count)
{
    std::vector<InstanceId> all;
    for (int index = 0; index < count; ++index) {
        all.emplace_back("instance-" + std::to_string(index));
    }
    return all;
}

} // namespace

TEST_CASE("The rendezvous order depends only on the names", "[rendezvous]")
{
    std::vector<InstanceId> all = nodes(20);
    const auto order = rendezvousOrder("server-1", all);
    CHECK(std::is_permutation(order.begin(), order.end(), all.begin(), all.end()));
    std::reverse(all.begin(), all.end());
    CHECK(rendezvousOrder("server-1", all) == order);
    CHECK(rendezvousOrder("server-2", all) != order);
    CHECK(rendezvousFirst("server-1", all, 2) == std::vector<InstanceId>(order.begin(), order.begin() + 2));
    CHECK(rendezvousFirst("server-1", {}, 2).empty());
}

TEST_CASE("Hashes and weights are the same in every process and release", "[rendezvous]")
{
    CHECK(rendezvousHash("server-1") == 0x21bccaff72023aa1ULL);
    CHECK(rendezvousWeight(1, 2) == 0x1722dee50e00c79cULL);
}

TEST_CASE("Removing a node keeps the order of the other nodes", "[rendezvous]")
{
    const std::vector<InstanceId> all = nodes(20);
    for (int key = 0; key < 200; ++key) {
        const std::string text = "server-" + std::to_string(key);
        auto order = rendezvousOrder(text, all);
        const InstanceId removed = all[static_cast<std::size_t>(key) % all.size()];
        std::vector<InstanceId> rest = all;
        rest.erase(std::find(rest.begin(), rest.end(), removed));
        order.erase(std::find(order.begin(), order.end(), removed));
        CHECK(rendezvousOrder(text, rest) == order);
    }
}
