#include <burdock/wire/factories.h>
#include <burdock/wire/probecodec.h>

#include <catch2/catch.hpp>

#include <random>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

constexpr Duration TestTimeout = 5s;

ProbeMessage fullProbe(std::size_t nameBytes)
{
    const std::string name(nameBytes, 'n');
    const Address address{"2001:db8:1111:2222:3333:4444:5555:6666", 65535};
    const ListedInstance details{InstanceId(name), {Region(name), DataCentre(name)}, address, address, true};
    return {ProbeKind::PingRequest,
            UINT32_MAX,
            InstanceId(name),
            MaxIncarnation,
            MemberLife::Leaving,
            UINT64_MAX,
            InstanceId(name),
            {{InstanceId(name), MaxIncarnation, MemberState::Dead, MemberLife::Leaving, std::nullopt},
             {InstanceId(name), MaxIncarnation, MemberState::Alive, MemberLife::Ready, details}}};
}

} // namespace

TEST_CASE("A probe is decoded to what was encoded, and its size is at most the estimate", "[probe]")
{
    for (const std::size_t nameBytes : {std::size_t{1}, std::size_t{24}, ProbeNameBytes}) {
        ProbeMessage message = fullProbe(nameBytes);
        for (std::size_t updates = message.updates.size() + 1; updates-- > 0; message.updates.resize(updates)) {
            const std::string datagram = encodeProbe(message);
            const auto decoded = decodeProbe(datagram);
            REQUIRE(decoded);
            CHECK(*decoded == message);
            std::size_t estimate = probeHeaderBytes(message);
            for (const ProbeUpdate &update : message.updates) {
                estimate += probeUpdateBytes(update);
            }
            CHECK(datagram.size() <= estimate);
            if (updates == 0) {
                break;
            }
        }
    }
}

TEST_CASE("Fields out of bounds are refused", "[probe]")
{
    struct Case
    {
        std::string name;
        void (*corrupt)(ProbeMessage &);
    };
    const std::vector<Case> cases{
        {"sender's name too long", [](ProbeMessage &probe) { probe.from = InstanceId(std::string(ProbeNameBytes + 1, 'x')); }},
        {"target's name too long", [](ProbeMessage &probe) { probe.target = InstanceId(std::string(ProbeNameBytes + 1, 'x')); }},
        {"member's name too long", [](ProbeMessage &probe) { probe.updates[0].member = InstanceId(std::string(ProbeNameBytes + 1, 'x')); }},
        {"region's name too long", [](ProbeMessage &probe) { probe.updates[1].details->place.region = Region(std::string(ProbeNameBytes + 1, 'x')); }},
        {"host too long", [](ProbeMessage &probe) { probe.updates[1].details->peers.host = std::string(46, '1'); }},
        {"incarnation too high", [](ProbeMessage &probe) { probe.incarnation = MaxIncarnation + 1; }},
        {"member's incarnation too high", [](ProbeMessage &probe) { probe.updates[0].incarnation = MaxIncarnation + 1; }},
        {"unknown kind", [](ProbeMessage &probe) { probe.kind = static_cast<ProbeKind>(4); }},
        {"unknown state", [](ProbeMessage &probe) { probe.updates[0].state = static_cast<MemberState>(3); }},
        {"unknown life", [](ProbeMessage &probe) { probe.life = static_cast<MemberLife>(3); }},
        {"too large", [](ProbeMessage &probe) { probe.updates.resize(300, probe.updates[0]); }},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        ProbeMessage message = fullProbe(8);
        each.corrupt(message);
        CHECK_FALSE(decodeProbe(encodeProbe(message)));
    }
}

TEST_CASE("Malformed datagrams are refused without a crash", "[probe]")
{
    const std::uint64_t seed = 20261204;
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    const std::string validProbe = encodeProbe(fullProbe(8));

    SECTION("random bytes")
    {
        for (int round = 0; round < 20000; ++round) {
            std::string bytes(random() % 200, '\0');
            for (char &byte : bytes) {
                byte = static_cast<char>(random());
            }
            CHECK_FALSE(decodeProbe(bytes));
        }
    }
    SECTION("a probe with a few changed bytes is refused or stays within its limits")
    {
        int accepted = 0;
        for (int round = 0; round < 20000; ++round) {
            std::string bytes = validProbe;
            for (std::uint64_t change = 0; change <= random() % 3; ++change) {
                bytes[random() % bytes.size()] = static_cast<char>(random());
            }
            const auto decoded = decodeProbe(bytes);
            accepted += decoded ? 1 : 0;
            CHECK((!decoded || (decoded->from.text().size() <= ProbeNameBytes && decoded->updates.size() <= ProbeDatagramBytes)));
        }
        CHECK(accepted > 0);
    }
    SECTION("a probe truncated at any byte")
    {
        for (std::size_t size = 0; size < validProbe.size(); ++size) {
            CHECK_FALSE(decodeProbe(validProbe.substr(0, size)));
        }
    }
    SECTION("deep nesting and impossible lengths")
    {
        CHECK_FALSE(decodeProbe(std::string(ProbeDatagramBytes, '\x81')));
        CHECK_FALSE(decodeProbe(std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9)));
        CHECK_FALSE(decodeProbe(std::string("\x7b\xff\xff\xff\xff\xff\xff\xff\xff", 9)));
        CHECK_FALSE(decodeProbe(std::string(ProbeDatagramBytes + 1, '\0')));
    }
}

TEST_CASE("Probes are sent between two sockets, and malformed datagrams are counted", "[probe][datagram]")
{
    EventLoop loop;
    const auto left = makeDatagramSocket(loop);
    const auto right = makeDatagramSocket(loop);
    const auto leftAddress = left->bind({"127.0.0.1", 0});
    const auto rightAddress = right->bind({"127.0.0.1", 0});
    REQUIRE(leftAddress);
    REQUIRE(rightAddress);
    CHECK_FALSE(makeDatagramSocket(loop)->bind(*leftAddress));
    CHECK_FALSE(makeDatagramSocket(loop)->bind({"localhost", 0}));
    ProbeChannel sender(*left);
    ProbeChannel receiver(*right);
    std::vector<std::pair<Address, ProbeMessage>> seen;
    receiver.setHandler([&](const Address &from, const ProbeMessage &message) { seen.emplace_back(from, message); });
    left->send(*rightAddress, "noise");
    left->send(*rightAddress, std::string(5000, 'x'));
    left->send({"nowhere", 1}, "lost");
    sender.send(*rightAddress, fullProbe(8));
    REQUIRE(loop.runUntil([&] { return !seen.empty(); }, TestTimeout));
    CHECK(seen.front() == std::pair(*leftAddress, fullProbe(8)));
    CHECK(receiver.counters().malformed == 1);
    CHECK(receiver.counters().received == 2);
    CHECK(sender.counters().sent == 1);

    ProbeMessage large = fullProbe(8);
    large.updates.resize(300, large.updates[0]);
    sender.send(*rightAddress, large);
    CHECK(sender.counters().oversize == 1);
}
