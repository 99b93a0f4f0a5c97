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

/// The version of the protocol between instances. A link is refused if the versions differ.
constexpr std::uint32_t PeerProtocol = 1;

/// The first message on a link in each direction.
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

/// Cancels a sub-request. A reply that is already in transit is recognised by its number and dropped.
struct CancelSubRequest
{
    SubRequestId id;

    auto fields() const
    {
        return std::tie(id);
    }
};

/// Subscribes to a holder's reports on all its servers. The holder sends them at once and after each change.
struct SubscribeReports
{
    std::uint64_t incarnation = 0;

    auto fields() const
    {
        return std::tie(incarnation);
    }
};

/// All message types of a link. The index of a type is its number on the wire.
using PeerMessage = std::
    variant<Hello, SubRequest, SubReply, CancelSubRequest, SubscribeReports, ServerReport, ConfigFetch, ConfigOffer, ClaimRequest, ClaimAnswer, ClaimOutcome>;

/// Encodes the messages as one CBOR frame.
std::string encodeFrame(const std::vector<PeerMessage> &messages);

/// Decodes a frame. BadRequest for anything but a list of well-formed messages.
Result<std::vector<PeerMessage>> decodeFrame(const std::string &frame);

} // namespace Burdock
