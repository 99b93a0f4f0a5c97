#pragma once

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

/// Asks the owner of a claim partition to claim a key before a command is dispatched.
struct ClaimAsk
{
    std::uint64_t number = 0;
    CommandName command;
    std::string key;
    InstanceId claimant;
    std::uint64_t incarnation = 0;
    std::uint64_t nonce = 0;

    auto fields() const
    {
        return std::tie(number, command, key, claimant, incarnation, nonce);
    }
};

/// The owner's reply to ClaimAsk.
struct ClaimAnswer
{
    std::uint64_t number = 0;
    /// Errc::Ok: the claim is the asker's. ClaimedElsewhere: see `outcome`. Else why not.
    Errc code = Errc::Ok;
    bool outcomeKnown = false;
    std::string outcome;

    auto fields() const
    {
        return std::tie(number, code, outcomeKnown, outcome);
    }
};

/// Tells the owner of a claim partition how a claimed command ended, to be stored lazily.
struct ClaimOutcome
{
    CommandName command;
    std::string key;
    std::uint64_t nonce = 0;
    Verdict verdict = Verdict::Ran;
    std::string outcome;

    auto fields() const
    {
        return std::tie(command, key, nonce, verdict, outcome);
    }
};

/// Everything that travels on a link. The place in the list is the message's number on the wire.
using PeerMessage =
    std::variant<Hello, SubRequest, SubReply, CancelSubRequest, SubscribeReports, ServerReport, ConfigFetch, ConfigOffer, ClaimAsk, ClaimAnswer, ClaimOutcome>;

/// Encodes messages into one frame.
std::string encodeFrame(const std::vector<PeerMessage> &messages);

/// Decodes a frame; BadRequest for anything that is not a list of well-formed messages.
Result<std::vector<PeerMessage>> decodeFrame(const std::string &frame);

} // namespace Burdock
