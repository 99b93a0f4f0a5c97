#pragma once

#include <burdock/values/address.h>
#include <burdock/values/names.h>
#include <burdock/wire/peermessage.h>

#include <cstdint>
#include <functional>

namespace Burdock
{

/// What the links have counted since the process started.
struct PeerLinkCounters
{
    std::uint64_t framesSent = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t framesReceived = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t brokenFrames = 0;
    std::uint64_t wrongProtocol = 0;
    std::uint64_t oversizeFrames = 0;
    std::uint64_t linksOpened = 0;
    std::uint64_t linksClosed = 0;
    std::uint64_t messagesDropped = 0;
};

/// The WebSocket links of this instance with its peers; one per peer, opened on first use.
///
/// Messages given within one turn of the loop to one peer leave in one frame. A link that breaks is
/// reported and opened again, with backoff, when next used.
class PeerLinks
{
public:
    virtual ~PeerLinks() = default;

    /// Who sent it, with the incarnation of its Hello, and the message.
    using MessageHandler = std::function<void(const InstanceId &from, PeerMessage message)>;
    /// Called when a link that was in use is lost: everything unanswered on it may have run.
    using LostHandler = std::function<void(const InstanceId &peer)>;

    virtual Result<Address> listen(const Address &address) = 0;
    virtual void setHandlers(MessageHandler onMessage, LostHandler onLost) = 0;

    /// Tells where a peer can be reached; a changed address closes the old link.
    virtual void setPeer(const InstanceId &peer, const Address &address) = 0;

    /// Forgets a peer and closes its link.
    virtual void removePeer(const InstanceId &peer) = 0;

    /// Queues a message. False where the peer is unknown or its queue is full: then nothing was sent.
    /// A true result followed by a lost link means the message may have arrived.
    virtual bool send(const InstanceId &peer, PeerMessage message) = 0;

    virtual std::uint32_t openLinks() const = 0;
    virtual const PeerLinkCounters &counters() const = 0;
};

} // namespace Burdock
