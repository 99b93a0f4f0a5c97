#include <burdock/router/instancecodec.h>
#include <burdock/router/ratecodec.h>
#include <burdock/router/relaycodec.h>
#include <burdock/wire/cbor.h>

#include "../../../tests/mutatedbytes.h"

#include <catch2/catch.hpp>

using namespace Burdock;

namespace
{

constexpr int Inputs = 10000;

const std::vector<StoreEntry> Entries{{"servers/a", std::string("v\0w", 3), 7, 3, false}, {"servers/b", "", 1LL << 40, 0, true}};

} // namespace

TEST_CASE("Malformed messages of other instances are refused and end no process", "[codec][fuzz]")
{
    SECTION("changes")
    {
        MutatedBytes malformed(writeChanges(Entries), 1);
        for (int input = 0; input < Inputs; ++input) {
            const auto read = readChanges(malformed.next());
            if (!read) {
                REQUIRE_FALSE(read.error().message.empty());
            }
        }
    }
    SECTION("listings")
    {
        MutatedBytes malformed(writeRange({Entries, 12}), 2);
        for (int input = 0; input < Inputs; ++input) {
            const auto read = readRange(malformed.next());
            if (!read) {
                REQUIRE_FALSE(read.error().message.empty());
            }
        }
    }
    SECTION("records")
    {
        const Address address{"10.0.0.1", 80};
        MutatedBytes malformed(writeInstance({InstanceId("i1"), address, address, Region("home"), DataCentre("a"), true, 0.5, false}), 3);
        for (int input = 0; input < Inputs; ++input) {
            const auto read = readInstance(malformed.next());
            if (!read) {
                REQUIRE_FALSE(read.error().message.empty());
            }
        }
    }
    SECTION("rates")
    {
        MutatedBytes asks(writeRateAsk({InstanceId("i1"), {1ULL << 63, 1LL << 40}, 0.25, true, {{"workspace", 7}, {"other", 1}}}), 4);
        MutatedBytes replies(writeRateReply({{1ULL << 63, 1LL << 40}, 0.5, {{7, Duration{0}}, {0, std::chrono::seconds(2)}}}), 5);
        for (int input = 0; input < Inputs; ++input) {
            const auto ask = readRateAsk(asks.next());
            const auto reply = readRateReply(replies.next());
            if (!ask) {
                REQUIRE_FALSE(ask.error().message.empty());
            } else {
                REQUIRE((ask->loan >= 0 && ask->loan <= 1));
            }
            if (!reply) {
                REQUIRE_FALSE(reply.error().message.empty());
            }
        }
    }
    SECTION("lists within lists, a megabyte deep")
    {
        CHECK_FALSE(parseCbor(std::string(1 << 20, '\x81')));
        CHECK_FALSE(readChanges(std::string(1 << 20, '\x81')));
        CHECK_FALSE(readRange(std::string(1 << 20, '\x9f')));
        CHECK_FALSE(readInstance(std::string(1 << 20, '[')));
        CHECK_FALSE(readRateAsk(std::string(1 << 20, '\x81')));
        CHECK_FALSE(readRateReply(std::string(1 << 20, '\x9f')));
    }
    SECTION("impossible lengths")
    {
        CHECK_FALSE(readChanges("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"));
        CHECK_FALSE(readChanges("\x5b\x7f\xff\xff\xff\xff\xff\xff\xff"));
    }
}
