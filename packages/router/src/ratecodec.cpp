#include <burdock/router/ratecodec.h>

#include <burdock/wire/cbor.h>

#include <algorithm>

namespace Burdock
{

using Json = nlohmann::json;

namespace
{

/// Parts of all rates travel in millionths.
constexpr double PartUnit = 1e6;
constexpr std::size_t MaxWants = 10000;
constexpr std::size_t MaxNameLength = 1024;
constexpr std::uint32_t MaxTokens = 1000000;
constexpr std::int64_t MaxWaitMs = 60000;

std::string bytesOf(const Json &message)
{
    std::string bytes;
    Json::to_cbor(message, bytes);
    return bytes;
}

double partOf(const Json &read)
{
    return std::clamp(static_cast<double>(read.get<std::int64_t>()) / PartUnit, 0.0, 1.0);
}

std::int64_t millionthsOf(double part)
{
    return static_cast<std::int64_t>(part * PartUnit);
}

std::uint32_t tokensOf(const Json &read)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(read.get<std::int64_t>(), 0, MaxTokens));
}

/// Parses a message and reads it with `read`.
template<class T, class Read>
Result<T> readMessage(const std::string &bytes, Read read)
{
    const Result<Json> message = parseCbor(bytes);
    if (!message) {
        return notRun(Errc::BadRequest, "the message about rates is malformed: " + message.error().message);
    }
    try {
        return read(*message);
    } catch (const Json::exception &error) {
        return notRun(Errc::BadRequest, std::string("the message about rates is malformed: ") + error.what());
    }
}

} // namespace

std::string writeRateAsk(const RateAsk &ask)
{
    Json wants = Json::array();
    for (const RateWant &want : ask.wants) {
        wants.push_back({want.name, want.tokens});
    }
    return bytesOf(Json::array({ask.from.text(), ask.stamp.life, ask.stamp.time, millionthsOf(ask.loan), ask.takesBack, std::move(wants)}));
}

Result<RateAsk> readRateAsk(const std::string &bytes)
{
    return readMessage<RateAsk>(bytes, [](const Json &message) -> Result<RateAsk> {
        RateAsk ask{InstanceId(message.at(0).get<std::string>()),
                    {message.at(1).get<std::uint64_t>(), message.at(2).get<std::int64_t>()},
                    partOf(message.at(3)),
                    message.at(4).get<bool>()};
        for (const Json &read : message.at(5)) {
            std::string name = read.at(0).get<std::string>();
            if (name.size() > MaxNameLength || ask.wants.size() == MaxWants) {
                return notRun(Errc::TooLarge, "the message about rates is too large");
            }
            ask.wants.push_back({std::move(name), tokensOf(read.at(1))});
        }
        return ask;
    });
}

std::string writeRateReply(const RateReply &reply)
{
    Json grants = Json::array();
    for (const RateGrant &grant : reply.grants) {
        grants.push_back({grant.tokens, grant.wait / std::chrono::milliseconds(1)});
    }
    return bytesOf(Json::array({reply.stamp.life, reply.stamp.time, millionthsOf(reply.pooled), std::move(grants)}));
}

Result<RateReply> readRateReply(const std::string &bytes)
{
    return readMessage<RateReply>(bytes, [](const Json &message) -> Result<RateReply> {
        RateReply reply{{message.at(0).get<std::uint64_t>(), message.at(1).get<std::int64_t>()}, partOf(message.at(2))};
        for (const Json &read : message.at(3)) {
            if (reply.grants.size() == MaxWants) {
                return notRun(Errc::TooLarge, "the message about rates is too large");
            }
            const auto waitMs = std::clamp<std::int64_t>(read.at(1).get<std::int64_t>(), 0, MaxWaitMs);
            reply.grants.push_back({tokensOf(read.at(0)), std::chrono::milliseconds(waitMs)});
        }
        return reply;
    });
}

} // namespace Burdock
