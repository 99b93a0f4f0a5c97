#pragma once

#include <burdock/values/claim.h>
#include <burdock/values/configmessages.h>
#include <burdock/values/subrequest.h>

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace Burdock
{

/// The number of the protocol between instances. Links between different numbers are refused.
constexpr std::uint32_t PeerProtocol = 1;

/// The first message on a link, each way.
struct Hello
{
    std::uint32_t protocol = PeerProtocol;
    InstanceId instance;
    std::uint64_t incarnation = 0;

    auto fields() const
    {
        return std::tie(protocol, instance, incarnation);
    }
};

/// Gives up a sub-request; a reply that is on its way is dropped by its number.
struct CancelSubRequest
{
    SubRequestId id;

    auto fields() const
    {
        return std::tie(id);
    }
};

/// Asks a holder for reports on all its servers, now and on each change.
struct SubscribeReports
{
    std::uint64_t incarnation = 0;

    auto fields() const
    {
        return std::tie(incarnation);
    }
};

/// Everything that travels on a link. The place in the list is the message's number on the wire.
using PeerMessage = std::
    variant<Hello, SubRequest, SubReply, CancelSubRequest, SubscribeReports, ServerReport, ConfigFetch, ConfigOffer, ClaimRequest, ClaimAnswer, ClaimOutcome>;

/// Encodes messages into one frame.
std::string encodeFrame(const std::vector<PeerMessage> &messages);

/// Decodes a frame; BadRequest for anything that is not a list of well-formed messages.
Result<std::vector<PeerMessage>> decodeFrame(const std::string &frame);

} // namespace Burdock
