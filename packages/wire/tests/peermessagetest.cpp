#include <burdock/wire/peermessage.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

using namespace Burdock;
using namespace std::chrono_literals;

namespace
{

SubRequest subRequest()
{
    SubRequest request;
    request.id = {InstanceId("entry-1"), 7, 42};
    request.caller = CallerId("technicians");
    request.rank = Rank::Urgent;
    request.server = ServerId("parts-0-a");
    request.budget = 80ms;
    request.snapshot = {IndexName("parts"), 7, 2};
    request.shard = ShardId("s3");
    request.range = {1, KeySpace};
    request.text = "belt \xff\x00 filter";
    request.limit = 20;
    return request;
}

SubReply subReply()
{
    SubReply reply;
    reply.id = subRequest().id;
    reply.code = Errc::WrongVersion;
    reply.verdict = Verdict::NotRun;
    reply.retryAfter = -5us;
    reply.hits = {{"a", 9.5, "{}"}, {"b", -1e300, ""}};
    reply.report.server = ServerId("parts-0-a");
    reply.report.draining = true;
    reply.report.queueDelay = {1ms, 2ms, 3ms};
    reply.report.versions = {{IndexName("parts"), {5, 7}}};
    return reply;
}

std::vector<PeerMessage> oneOfEach()
{
    return {
        Hello{1, InstanceId("i"), 3},
        subRequest(),
        subReply(),
        CancelSubRequest{subRequest().id},
        SubscribeReports{9},
        subReply().report,
        ConfigFetch{1, 2, {"h1", "h2"}},
        ConfigOffer{1, 3, "{}", {{"file", "hash", "text"}}},
        ClaimRequest{1, CommandName("invoice"), "key", InstanceId("i"), 2, 3},
        ClaimAnswer{1, Errc::ClaimedElsewhere, true, "outcome"},
        ClaimOutcome{CommandName("invoice"), "key", 3, Verdict::MayHaveRun, "outcome"},
    };
}

std::string cbor(const nlohmann::json &json)
{
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

} // namespace

TEST_CASE("every message type is decoded to what was encoded", "[codec]")
{
    const std::vector<PeerMessage> sent = oneOfEach();
    REQUIRE(sent.size() == std::variant_size_v<PeerMessage>);
    const auto received = decodeFrame(encodeFrame(sent));
    REQUIRE(received.has_value());
    CHECK(*received == sent);
}

TEST_CASE("a frame that is not a list of well-formed messages is refused", "[codec]")
{
    using nlohmann::json;
    struct Fault
    {
        const char *name;
        std::string frame;
    };
    const std::vector<Fault> faults{
        {"an empty frame", ""},
        {"not a list", cbor("text")},
        {"a map", cbor(json::object({{"a", 1}}))},
        {"a message that is not a list", cbor(json::array({1}))},
        {"an empty message", cbor(json::array({json::array()}))},
        {"a message of a later version", cbor(json::array({json::array({99, 1})}))},
        {"a missing field", cbor(json::array({json::array({4})}))},
        {"a surplus field", cbor(json::array({json::array({4, 1, 2})}))},
        {"a text for a number", cbor(json::array({json::array({4, "1"})}))},
        {"a negative count", cbor(json::array({json::array({4, -1})}))},
        {"a null", cbor(json::array({json::array({4, nullptr})}))},
        {"bytes after the frame", cbor(json::array()) + "x"},
        {"an error code beyond the last", cbor(json::array({json::array({9, 1, 20, false, ""})}))},
        {"a protocol number over 32 bits", cbor(json::array({json::array({0, 1ULL << 32U, "i", 1})}))},
        {"a list with a count beyond its items", std::string("\x9b\x00\x00\x00\x00\xff\xff\xff\xff", 9)},
        {"a text with a length beyond the frame", std::string("\x81\x7b\x7f\xff\xff\xff\xff\xff\xff\xff", 10)},
        {"a list of indefinite length", std::string("\x9f\xff", 2)},
        {"a million nested lists", std::string(1000000, '\x81')},
        {"a million nested lists of indefinite length", std::string(1000000, '\x9f')},
        {"a million tags", std::string(1000000, '\xc1')},
        {"a million empty lists", std::string("\x9a\x00\x0f\x42\x40", 5) + std::string(1000000, '\x80')},
        {"a score that is NaN",
         [] {
             SubReply reply = subReply();
             reply.hits[0].score = std::numeric_limits<double>::quiet_NaN();
             return encodeFrame({reply});
         }()},
    };
    for (const Fault &fault : faults) {
        INFO(fault.name);
        const auto decoded = decodeFrame(fault.frame);
        REQUIRE_FALSE(decoded.has_value());
        CHECK(decoded.error().code == Errc::BadRequest);
    }
}

TEST_CASE("a truncated frame is refused", "[codec]")
{
    const std::string frame = encodeFrame(oneOfEach());
    for (std::size_t length = 0; length < frame.size(); ++length) {
        CHECK_FALSE(decodeFrame(frame.substr(0, length)).has_value());
    }
}

TEST_CASE("a frame with random changes is refused or decodes to a frame that round-trips", "[codec]")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const std::string frame = encodeFrame(oneOfEach());
    for (int round = 0; round < 3000; ++round) {
        std::string changed = frame;
        for (unsigned change = 0; change < 1 + random() % 4; ++change) {
            changed[random() % changed.size()] = static_cast<char>(random());
        }
        const auto decoded = decodeFrame(changed);
        if (decoded) {
            CHECK(decodeFrame(encodeFrame(*decoded)) == decoded);
        }
    }
}
