#pragma once

#include <burdock/values/address.h>
#include <burdock/values/names.h>
#include <burdock/wire/peermessage.h>

#include <cstdint>
#include <functional>

namespace Burdock
{

/// Event counts since the process started.
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

/// The WebSocket links from this instance to its peers; one per peer, opened on first use.
///
/// Messages that are sent to one peer within one iteration of the event loop share a frame. A lost
/// link is reported and reopened on the next use, with backoff.
class PeerLinks
{
public:
    virtual ~PeerLinks() = default;

    /// Called for each received message with the sender's name.
    using MessageHandler = std::function<void(const InstanceId &from, PeerMessage message)>;
    /// Called when a link that was in use is lost. All requests that were unanswered on it may have run.
    using LostHandler = std::function<void(const InstanceId &peer)>;

    virtual Result<Address> listen(const Address &address) = 0;
    virtual void setHandlers(MessageHandler onMessage, LostHandler onLost) = 0;

    /// Sets the address of a peer. A changed address closes the existing link.
    virtual void setPeer(const InstanceId &peer, const Address &address) = 0;

    /// Removes a peer and closes its link.
    virtual void removePeer(const InstanceId &peer) = 0;

    /// Queues a message. Returns false, and sends nothing, if the peer is unknown, in backoff after a failed connection, or its
    /// queue is full, or if the message is too large. If the link is lost after a true result, the message may have arrived.
    virtual bool send(const InstanceId &peer, PeerMessage message) = 0;

    virtual std::uint32_t openLinks() const = 0;
    virtual const PeerLinkCounters &counters() const = 0;
};

} // namespace Burdock
