#include "linknode.h"
#include "rawsocket.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

const std::string Upgrade =
    "GET /link HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: "
    "13\r\n\r\n";

/// A WebSocket frame of a client, masked with zeros. `announced` is the length in its header if not 0.
std::string webSocketFrame(const std::string &payload, unsigned opcode = 2, std::uint64_t announced = 0)
{
    const std::uint64_t length = announced == 0 ? payload.size() : announced;
    std::string frame(1, static_cast<char>(0x80U | opcode));
    const unsigned lengthBytes = length < 126 ? 0 : length < 65536 ? 2 : 8;
    frame += static_cast<char>(0x80U | (lengthBytes == 0 ? length : lengthBytes == 2 ? 126U : 127U));
    for (unsigned byte = lengthBytes; byte > 0; --byte) {
        frame += static_cast<char>(length >> (8 * (byte - 1)));
    }
    return frame + std::string(4, '\0') + payload;
}

std::string cbor(const nlohmann::json &json)
{
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

std::string hello(const std::string &name = "raw", std::uint64_t incarnation = 1)
{
    return webSocketFrame(encodeFrame({Hello{PeerProtocol, InstanceId(name), incarnation}}));
}

bool allLinksClosed(EventLoop &loop, const Node &node)
{
    return loop.runUntil([&] { return node.links->openLinks() == 0; }, TestTimeout);
}

} // namespace

TEST_CASE("a protocol violation closes only the link on which it occurs", "[links]")
{
    struct Fault
    {
        const char *name;
        std::string bytes;
        std::uint64_t PeerLinkCounters::*counter;
    };
    const std::string message = webSocketFrame(encodeFrame({numbered(1)}));
    const std::vector<Fault> faults{
        {"a newer protocol", Upgrade + webSocketFrame(encodeFrame({Hello{PeerProtocol + 1, InstanceId("raw"), 1}})), &PeerLinkCounters::wrongProtocol},
        {"a first message other than Hello", Upgrade + message, &PeerLinkCounters::brokenFrames},
        {"a second Hello", Upgrade + hello() + hello(), &PeerLinkCounters::brokenFrames},
        {"a frame that is not CBOR", Upgrade + hello() + webSocketFrame("\xff\xff"), &PeerLinkCounters::brokenFrames},
        {"a malformed message after a valid one",
         Upgrade + hello() + webSocketFrame(cbor(nlohmann::json::array({{4, 1}, {4}}))),
         &PeerLinkCounters::brokenFrames},
        {"a text frame", Upgrade + hello() + webSocketFrame("[]", 1), &PeerLinkCounters::brokenFrames},
        {"a reserved opcode", Upgrade + hello() + webSocketFrame("x", 7), &PeerLinkCounters::brokenFrames},
        {"a frame header with a length over the limit", Upgrade + hello() + webSocketFrame("x", 2, 1ULL << 30U), &PeerLinkCounters::oversizeFrames},
        {"a complete frame over the limit", Upgrade + hello() + webSocketFrame(std::string(5000000, 'x')), &PeerLinkCounters::oversizeFrames},
    };
    for (const Fault &fault : faults) {
        INFO(fault.name);
        EventLoop loop;
        Node node(loop, "node");
        Node other(loop, "other");
        other.links->setPeer(node.id, node.address);
        CHECK(other.links->send(node.id, numbered(7)));
        REQUIRE(loop.runUntil([&] { return node.received.size() == 1; }, TestTimeout));
        RawSocket raw(loop, node.address.port);
        raw.send(fault.bytes);
        CHECK(loop.runUntil([&] { return raw.closedByPeer; }, TestTimeout));
        CHECK(node.links->counters().*fault.counter == 1);
        CHECK(node.links->openLinks() == 1);
        CHECK(other.links->send(node.id, numbered(8)));
        CHECK(loop.runUntil([&] { return numbers(node).back() == 8; }, TestTimeout));
    }
}

TEST_CASE("a connection without a valid handshake and Hello is closed", "[links]")
{
    struct Fault
    {
        const char *name;
        std::string bytes;
    };
    const std::vector<Fault> faults{
        {"plain HTTP", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
        {"another path", "GET /other" + Upgrade.substr(9)},
        {"garbage", "\x01\x02\x03\r\n\r\n"},
        {"a long line without end", std::string(100000, 'x')},
        {"a Hello with the instance's own name", Upgrade + hello("node")},
        {"no bytes", ""},
        {"an upgrade without a Hello", Upgrade},
    };
    EventLoop loop;
    Node node(loop, "node");
    std::vector<std::unique_ptr<RawSocket>> sockets;
    for (const Fault &fault : faults) {
        sockets.push_back(std::make_unique<RawSocket>(loop, node.address.port));
        sockets.back()->send(fault.bytes);
    }
    for (std::size_t i = 0; i < faults.size(); ++i) {
        INFO(faults[i].name);
        CHECK(loop.runUntil([&] { return sockets[i]->closedByPeer; }, TestTimeout));
    }
    CHECK(node.received.empty());
    CHECK(node.links->openLinks() == 0);
    CHECK(node.lost.empty());
}

TEST_CASE("a peer that has not said who it is may send no long frame", "[links][memory]")
{
    EventLoop loop;
    Node node(loop, "node");
    RawSocket raw(loop, node.address.port);
    raw.send(Upgrade + webSocketFrame("x", 2, 100000));
    CHECK(loop.runUntil([&] { return raw.closedByPeer; }, TestTimeout));
    CHECK(node.links->counters().oversizeFrames == 1);
}

TEST_CASE("frames that stop short of their end give way to others while memory is short", "[links][memory]")
{
    constexpr std::size_t Limit = 1000000;
    constexpr std::size_t Arrived = 300000;
    EventLoop loop;
    const auto memory = std::make_shared<MemoryBudget>(loop, MemoryTerms{Limit, 1024, 200ms});
    Node node(loop, "node", 1, memory);
    std::vector<std::unique_ptr<RawSocket>> sockets;
    for (const char *name : {"first", "second", "third", "fourth", "fifth"}) {
        sockets.push_back(std::make_unique<RawSocket>(loop, node.address.port));
        sockets.back()->send(Upgrade + hello(name) + webSocketFrame(std::string(Arrived, 'x'), 2, 2 * Arrived));
    }
    const auto closed = [&] { return std::count_if(sockets.begin(), sockets.end(), [](const auto &socket) { return socket->closedByPeer; }); };
    CHECK(loop.runUntil([&] { return closed() > 0 && memory->level() == MemoryLevel::Calm; }, TestTimeout));
    CHECK(memory->counters().peak <= Limit);
    Node other(loop, "other");
    other.links->setPeer(node.id, node.address);
    CHECK(other.links->send(node.id, numbered(1)));
    CHECK(loop.runUntil([&] { return node.received.size() == 1; }, TestTimeout));
}

TEST_CASE("random input neither crashes the links nor leaks a link", "[links]")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    INFO("seed " << seed);
    std::mt19937 random(seed);
    EventLoop loop;
    Node node(loop, "node");
    for (int round = 0; round < 100; ++round) {
        RawSocket raw(loop, node.address.port);
        std::string bytes = Upgrade + hello("drawn" + std::to_string(random() % 4), random() % 3) + webSocketFrame(encodeFrame({numbered(round)}));
        for (unsigned change = 0; change < random() % 4; ++change) {
            bytes[Upgrade.size() + random() % (bytes.size() - Upgrade.size())] = static_cast<char>(random());
        }
        for (unsigned length = random() % 40; length > 0; --length) {
            bytes += static_cast<char>(random());
        }
        raw.send(bytes);
        loop.runUntil([] { return false; }, Duration(random() % 1000));
    }
    CHECK(allLinksClosed(loop, node));
    CHECK(node.links->counters().linksOpened == node.links->counters().linksClosed);
}

TEST_CASE("two instances that dial each other at once keep one link and lose no message", "[links]")
{
    EventLoop loop;
    Node a(loop, "a");
    Node b(loop, "b");
    a.links->setPeer(b.id, b.address);
    b.links->setPeer(a.id, a.address);
    constexpr std::uint64_t Count = 200;
    for (std::uint64_t number = 1; number <= Count; ++number) {
        CHECK(a.links->send(b.id, numbered(number)));
        CHECK(b.links->send(a.id, numbered(number)));
        loop.runUntil([] { return false; }, Duration(50));
    }
    CHECK(loop.runUntil([&] { return a.received.size() == Count && b.received.size() == Count; }, TestTimeout));
    CHECK(a.links->counters().linksOpened == 2);
    CHECK(loop.runUntil([&] { return a.links->openLinks() == 1 && b.links->openLinks() == 1; }, TestTimeout));
    CHECK(a.lost.empty());
    CHECK(b.lost.empty());
    CHECK(a.links->send(b.id, numbered(Count + 1)));
    CHECK(b.links->send(a.id, numbered(Count + 1)));
    CHECK(loop.runUntil([&] { return a.received.size() == Count + 1 && b.received.size() == Count + 1; }, TestTimeout));
    CHECK(a.links->counters().messagesDropped == 0);
}

TEST_CASE("a stopped peer is reported as lost, and a restarted one is connected again", "[links]")
{
    EventLoop loop;
    Node a(loop, "a");
    auto b = std::make_unique<Node>(loop, "b", 1);
    a.links->setPeer(b->id, b->address);
    CHECK(a.links->send(b->id, numbered(1)));
    REQUIRE(loop.runUntil([&] { return b->received.size() == 1; }, TestTimeout));
    const Address address = b->address;
    b.reset();
    REQUIRE(loop.runUntil([&] { return a.lost.size() == 1; }, TestTimeout));
    CHECK(a.links->openLinks() == 0);
    SECTION("not restarted")
    {
        CHECK(a.links->send(InstanceId("b"), numbered(2)));
        CHECK(loop.runUntil([&] { return a.lost.size() == 2; }, TestTimeout));
        CHECK_FALSE(a.links->send(InstanceId("b"), numbered(3)));
        CHECK(a.links->counters().messagesDropped == 2);
    }
    SECTION("restarted on another port")
    {
        Node successor(loop, "b", 2);
        a.links->setPeer(successor.id, successor.address);
        CHECK(a.links->send(successor.id, numbered(2)));
        CHECK(loop.runUntil([&] { return numbers(successor) == std::vector<std::uint64_t>{2}; }, TestTimeout));
    }
}

TEST_CASE("a Hello with a later incarnation closes the links of the earlier one", "[links]")
{
    EventLoop loop;
    Node node(loop, "node");
    RawSocket old(loop, node.address.port);
    old.send(Upgrade + hello("raw", 5));
    REQUIRE(loop.runUntil([&] { return node.links->openLinks() == 1; }, TestTimeout));
    RawSocket next(loop, node.address.port);
    SECTION("a later incarnation")
    {
        next.send(Upgrade + hello("raw", 6));
        CHECK(loop.runUntil([&] { return old.closedByPeer; }, TestTimeout));
        CHECK(node.lost == std::vector<InstanceId>{InstanceId("raw")});
    }
    SECTION("an earlier incarnation is refused")
    {
        next.send(Upgrade + hello("raw", 4));
        CHECK(loop.runUntil([&] { return next.closedByPeer; }, TestTimeout));
        CHECK_FALSE(old.closedByPeer);
        CHECK(node.lost.empty());
    }
    CHECK(node.links->openLinks() == 1);
}

TEST_CASE("a link is closed and reported as lost when its peer moves or is removed", "[links]")
{
    EventLoop loop;
    Node a(loop, "a");
    Node b(loop, "b");
    a.links->setPeer(b.id, b.address);
    CHECK(a.links->send(b.id, numbered(1)));
    REQUIRE(loop.runUntil([&] { return b.received.size() == 1; }, TestTimeout));
    a.links->setPeer(b.id, b.address);
    CHECK(a.links->openLinks() == 1);
    SECTION("the address changes")
    {
        Node moved(loop, "b", 1);
        a.links->setPeer(moved.id, moved.address);
        CHECK(a.lost.empty());
        CHECK(loop.runUntil([&] { return a.lost.size() == 1 && b.lost.size() == 1; }, TestTimeout));
        CHECK(a.links->send(b.id, numbered(2)));
        CHECK(loop.runUntil([&] { return moved.received.size() == 1; }, TestTimeout));
    }
    SECTION("the peer is removed")
    {
        a.links->removePeer(b.id);
        CHECK(a.lost.empty());
        CHECK(loop.runUntil([&] { return a.lost.size() == 1 && b.lost.size() == 1; }, TestTimeout));
        CHECK_FALSE(a.links->send(b.id, numbered(2)));
    }
    SECTION("one side removes the peer, then the other sends again")
    {
        b.links->removePeer(a.id);
        CHECK(loop.runUntil([&] { return a.lost.size() == 1; }, TestTimeout));
        CHECK(a.links->send(b.id, numbered(2)));
        CHECK(loop.runUntil([&] { return b.received.size() == 2; }, TestTimeout));
    }
    SECTION("the peer is removed from within its message's handler")
    {
        std::size_t handled = 0;
        b.links->setHandlers(
            [&](const InstanceId &from, const PeerMessage &) {
                ++handled;
                b.links->removePeer(from);
            },
            [](const InstanceId &) {});
        CHECK(a.links->send(b.id, numbered(2)));
        CHECK(a.links->send(b.id, numbered(3)));
        CHECK(loop.runUntil([&] { return a.lost.size() == 1; }, TestTimeout));
        CHECK(handled == 1);
    }
}

TEST_CASE("the queue of a peer that does not read is limited", "[links]")
{
    EventLoop loop;
    Node node(loop, "node");
    RawSocket raw(loop, node.address.port);
    raw.send(Upgrade + hello());
    REQUIRE(loop.runUntil([&] { return node.links->openLinks() == 1; }, TestTimeout));
    raw.stopReading();
    ConfigOffer large;
    large.head = std::string(100000, 'x');
    std::size_t queued = 0;
    while (queued < 1000 && node.links->send(InstanceId("raw"), large)) {
        ++queued;
        loop.runUntil([] { return false; }, Duration(100));
    }
    CHECK(queued < 1000);
    CHECK(node.links->counters().messagesDropped == 1);
    raw.startReading();
    CHECK(loop.runUntil([&] { return raw.received.size() > queued * large.head.size(); }, TestTimeout));
    CHECK(node.links->send(InstanceId("raw"), large));
    CHECK(node.lost.empty());
}

TEST_CASE("send refuses a message over the frame limit or to an unknown peer", "[links]")
{
    EventLoop loop;
    Node a(loop, "a");
    Node b(loop, "b");
    a.links->setPeer(b.id, b.address);
    CHECK_FALSE(a.links->send(b.id, ConfigOffer{1, 1, std::string(5000000, 'x'), {}}));
    CHECK(a.links->send(b.id, ConfigOffer{1, 1, std::string(3500000, 'x'), {}}));
    CHECK(loop.runUntil([&] { return b.received.size() == 1; }, TestTimeout));
    CHECK_FALSE(a.links->send(InstanceId("unknown"), numbered(1)));
}
