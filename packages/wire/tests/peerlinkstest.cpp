#include <burdock/wire/factories.h>

#include <catch2/catch.hpp>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

constexpr Duration Patience = 5s;
const Address AnyPort{"127.0.0.1", 0};

/// One instance's links with what they reported.
struct Node
{
    Node(EventLoop &loop, const std::string &name, std::uint64_t incarnation = 1)
        : id(name)
        , links(makePeerLinks(loop, id, incarnation))
        , address(links->listen(AnyPort).value())
    {
        links->setHandlers([this](const InstanceId &from, PeerMessage message) { received.emplace_back(from, std::move(message)); },
                           [this](const InstanceId &peer) { lost.push_back(peer); });
    }

    InstanceId id;
    std::unique_ptr<PeerLinks> links;
    Address address;
    std::vector<std::pair<InstanceId, PeerMessage>> received;
    std::vector<InstanceId> lost;
};

PeerMessage numbered(std::uint64_t number)
{
    return CancelSubRequest{{InstanceId("x"), 1, number}};
}

std::vector<std::uint64_t> numbers(const Node &node)
{
    std::vector<std::uint64_t> all;
    for (const auto &[from, message] : node.received) {
        all.push_back(std::get<CancelSubRequest>(message).id.number);
    }
    return all;
}

} // namespace

TEST_CASE("messages of one turn travel in one frame, and the reply needs no second link", "[links]")
{
    EventLoop loop;
    Node a(loop, "a");
    Node b(loop, "b");
    a.links->setPeer(b.id, b.address);
    for (std::uint64_t number = 1; number <= 3; ++number) {
        CHECK(a.links->send(b.id, numbered(number)));
    }
    REQUIRE(loop.runUntil([&] { return b.received.size() == 3; }, Patience));
    CHECK(numbers(b) == std::vector<std::uint64_t>{1, 2, 3});
    CHECK(b.received.front().first == a.id);
    CHECK(a.links->counters().framesSent == 2);
    CHECK(a.links->counters().messagesSent == 4);

    CHECK(b.links->send(a.id, numbered(4)));
    REQUIRE(loop.runUntil([&] { return a.received.size() == 1; }, Patience));
    CHECK(a.links->openLinks() == 1);
    CHECK(b.links->openLinks() == 1);
    CHECK(b.links->counters().linksOpened == 1);
}
