#include "linknode.h"
#include "rawsocket.h"

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

/// A client's frame of the opcode, with a mask of zeros.
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

bool quiet(EventLoop &loop, const Node &node)
{
    return loop.runUntil([&] { return node.links->openLinks() == 0; }, Patience);
}

} // namespace

TEST_CASE("a peer that breaks the protocol loses its link and nothing else", "[links]")
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
        {"no Hello first", Upgrade + message, &PeerLinkCounters::brokenFrames},
        {"a second Hello", Upgrade + hello() + hello(), &PeerLinkCounters::brokenFrames},
        {"a frame that is no CBOR", Upgrade + hello() + webSocketFrame("\xff\xff"), &PeerLinkCounters::brokenFrames},
        {"a broken message after a good one", Upgrade + hello() + webSocketFrame(cbor(nlohmann::json::array({{4, 1}, {4}}))), &PeerLinkCounters::brokenFrames},
        {"a text frame", Upgrade + hello() + webSocketFrame("[]", 1), &PeerLinkCounters::brokenFrames},
        {"a reserved opcode", Upgrade + hello() + webSocketFrame("x", 7), &PeerLinkCounters::brokenFrames},
        {"a frame that announces too much", Upgrade + hello() + webSocketFrame("x", 2, 1ULL << 30U), &PeerLinkCounters::oversizeFrames},
        {"a flood of bytes over the limit", Upgrade + hello() + webSocketFrame(std::string(5000000, 'x')), &PeerLinkCounters::oversizeFrames},
    };
    for (const Fault &fault : faults) {
        INFO(fault.name);
        EventLoop loop;
        Node node(loop, "node");
        Node other(loop, "other");
        other.links->setPeer(node.id, node.address);
        CHECK(other.links->send(node.id, numbered(7)));
        REQUIRE(loop.runUntil([&] { return node.received.size() == 1; }, Patience));
        RawSocket raw(loop, node.address.port);
        raw.send(fault.bytes);
        CHECK(loop.runUntil([&] { return raw.closedByPeer; }, Patience));
        CHECK(node.links->counters().*fault.counter == 1);
        CHECK(node.links->openLinks() == 1);
        CHECK(other.links->send(node.id, numbered(8)));
        CHECK(loop.runUntil([&] { return numbers(node).back() == 8; }, Patience));
    }
}

TEST_CASE("a connection that is no link of this system is closed", "[links]")
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
        {"a flood without end of line", std::string(100000, 'x')},
        {"our own name", Upgrade + hello("node")},
        {"nothing at all", ""},
        {"an upgrade and then nothing", Upgrade},
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
        CHECK(loop.runUntil([&] { return sockets[i]->closedByPeer; }, Patience));
    }
    CHECK(node.received.empty());
    CHECK(node.links->openLinks() == 0);
    CHECK(node.lost.empty());
}

TEST_CASE("drawn bytes neither crash the links nor leave anything behind", "[links]")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    INFO("seed " << seed);
    std::mt19937 draw(seed);
    EventLoop loop;
    Node node(loop, "node");
    for (int round = 0; round < 100; ++round) {
        RawSocket raw(loop, node.address.port);
        std::string bytes = Upgrade + hello("drawn" + std::to_string(draw() % 4), draw() % 3) + webSocketFrame(encodeFrame({numbered(round)}));
        for (unsigned change = 0; change < draw() % 4; ++change) {
            bytes[Upgrade.size() + draw() % (bytes.size() - Upgrade.size())] = static_cast<char>(draw());
        }
        for (unsigned length = draw() % 40; length > 0; --length) {
            bytes += static_cast<char>(draw());
        }
        raw.send(bytes);
        loop.runUntil([] { return false; }, Duration(draw() % 1000));
    }
    CHECK(quiet(loop, node));
    CHECK(node.links->counters().linksOpened == node.links->counters().linksClosed);
}

TEST_CASE("two that dial each other at once end with one link and lose nothing", "[links]")
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
    CHECK(loop.runUntil([&] { return a.received.size() == Count && b.received.size() == Count; }, Patience));
    CHECK(a.links->counters().linksOpened == 2);
    CHECK(loop.runUntil([&] { return a.links->openLinks() == 1 && b.links->openLinks() == 1; }, Patience));
    CHECK(a.lost.empty());
    CHECK(b.lost.empty());
    CHECK(a.links->send(b.id, numbered(Count + 1)));
    CHECK(b.links->send(a.id, numbered(Count + 1)));
    CHECK(loop.runUntil([&] { return a.received.size() == Count + 1 && b.received.size() == Count + 1; }, Patience));
    CHECK(a.links->counters().messagesDropped == 0);
}

TEST_CASE("a peer that goes is reported lost, and its successor is reached again", "[links]")
{
    EventLoop loop;
    Node a(loop, "a");
    auto b = std::make_unique<Node>(loop, "b", 1);
    a.links->setPeer(b->id, b->address);
    CHECK(a.links->send(b->id, numbered(1)));
    REQUIRE(loop.runUntil([&] { return b->received.size() == 1; }, Patience));
    const Address address = b->address;
    b.reset();
    REQUIRE(loop.runUntil([&] { return a.lost.size() == 1; }, Patience));
    CHECK(a.links->openLinks() == 0);
    SECTION("nobody there")
    {
        CHECK(a.links->send(InstanceId("b"), numbered(2)));
        CHECK(loop.runUntil([&] { return a.lost.size() == 2; }, Patience));
        CHECK_FALSE(a.links->send(InstanceId("b"), numbered(3)));
        CHECK(a.links->counters().messagesDropped == 2);
    }
    SECTION("restarted elsewhere")
    {
        Node successor(loop, "b", 2);
        a.links->setPeer(successor.id, successor.address);
        CHECK(a.links->send(successor.id, numbered(2)));
        CHECK(loop.runUntil([&] { return numbers(successor) == std::vector<std::uint64_t>{2}; }, Patience));
    }
}

TEST_CASE("a Hello of a restarted peer ends the links of its predecessor", "[links]")
{
    EventLoop loop;
    Node node(loop, "node");
    RawSocket old(loop, node.address.port);
    old.send(Upgrade + hello("raw", 5));
    REQUIRE(loop.runUntil([&] { return node.links->openLinks() == 1; }, Patience));
    RawSocket next(loop, node.address.port);
    SECTION("a later incarnation")
    {
        next.send(Upgrade + hello("raw", 6));
        CHECK(loop.runUntil([&] { return old.closedByPeer; }, Patience));
        CHECK(node.lost == std::vector<InstanceId>{InstanceId("raw")});
    }
    SECTION("an earlier incarnation is refused")
    {
        next.send(Upgrade + hello("raw", 4));
        CHECK(loop.runUntil([&] { return next.closedByPeer; }, Patience));
        CHECK_FALSE(old.closedByPeer);
        CHECK(node.lost.empty());
    }
    CHECK(node.links->openLinks() == 1);
}

TEST_CASE("a changed address and a removed peer close the link and are reported", "[links]")
{
    EventLoop loop;
    Node a(loop, "a");
    Node b(loop, "b");
    a.links->setPeer(b.id, b.address);
    CHECK(a.links->send(b.id, numbered(1)));
    REQUIRE(loop.runUntil([&] { return b.received.size() == 1; }, Patience));
    a.links->setPeer(b.id, b.address);
    CHECK(a.links->openLinks() == 1);
    SECTION("the address changes")
    {
        Node moved(loop, "b", 1);
        a.links->setPeer(moved.id, moved.address);
        CHECK(a.lost.empty());
        CHECK(loop.runUntil([&] { return a.lost.size() == 1 && b.lost.size() == 1; }, Patience));
        CHECK(a.links->send(b.id, numbered(2)));
        CHECK(loop.runUntil([&] { return moved.received.size() == 1; }, Patience));
    }
    SECTION("the peer is removed")
    {
        a.links->removePeer(b.id);
        CHECK(a.lost.empty());
        CHECK(loop.runUntil([&] { return a.lost.size() == 1 && b.lost.size() == 1; }, Patience));
        CHECK_FALSE(a.links->send(b.id, numbered(2)));
    }
    SECTION("the peer is removed on its side only, then asked again")
    {
        b.links->removePeer(a.id);
        CHECK(loop.runUntil([&] { return a.lost.size() == 1; }, Patience));
        CHECK(a.links->send(b.id, numbered(2)));
        CHECK(loop.runUntil([&] { return b.received.size() == 2; }, Patience));
    }
    SECTION("the peer is removed from within its own message")
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
        CHECK(loop.runUntil([&] { return a.lost.size() == 1; }, Patience));
        CHECK(handled == 1);
    }
}

TEST_CASE("the queue of a peer that does not read is bounded", "[links]")
{
    EventLoop loop;
    Node node(loop, "node");
    RawSocket raw(loop, node.address.port);
    raw.send(Upgrade + hello());
    REQUIRE(loop.runUntil([&] { return node.links->openLinks() == 1; }, Patience));
    raw.stopReading();
    ConfigOffer large;
    large.head = std::string(100000, 'x');
    std::size_t taken = 0;
    while (taken < 1000 && node.links->send(InstanceId("raw"), large)) {
        ++taken;
        loop.runUntil([] { return false; }, Duration(100));
    }
    CHECK(taken < 1000);
    CHECK(node.links->counters().messagesDropped == 1);
    raw.startReading();
    CHECK(loop.runUntil([&] { return raw.received.size() > taken * large.head.size(); }, Patience));
    CHECK(node.links->send(InstanceId("raw"), large));
    CHECK(node.lost.empty());
}

TEST_CASE("a message that no peer would take is refused at once", "[links]")
{
    EventLoop loop;
    Node a(loop, "a");
    Node b(loop, "b");
    a.links->setPeer(b.id, b.address);
    CHECK_FALSE(a.links->send(b.id, ConfigOffer{1, 1, std::string(5000000, 'x'), {}}));
    CHECK(a.links->send(b.id, ConfigOffer{1, 1, std::string(3500000, 'x'), {}}));
    CHECK(loop.runUntil([&] { return b.received.size() == 1; }, Patience));
    CHECK_FALSE(a.links->send(InstanceId("unknown"), numbered(1)));
}
