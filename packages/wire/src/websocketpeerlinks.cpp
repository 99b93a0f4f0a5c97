#include "internal/websocketpeerlinks.h"

#include <burdock/wire/factories.h>

#include <algorithm>
#include <event2/util.h>
#include <utility>

namespace Burdock
{

namespace
{

/// Messages stay in the peer's queue while this many bytes wait for its socket.
constexpr std::size_t MaxBacklogBytes = 1048576;

} // namespace

WebSocketPeerLinks::WebSocketPeerLinks(EventLoop &loop, InstanceId self, std::uint64_t incarnation)
    : loop_(loop)
    , self_(std::move(self))
    , incarnation_(incarnation)
    , listener_(loop, [this](int socket) { accept(socket); })
    , jitter_(static_cast<std::minstd_rand::result_type>(std::hash<InstanceId>()(self_) ^ incarnation))
{
}

WebSocketPeerLinks::~WebSocketPeerLinks()
{
    loop_.cancel(turn_);
    for (auto &[id, peer] : peers_) {
        if (preferred(peer) != nullptr) {
            flush(peer);
        }
    }
    for (auto &[link, entry] : links_) {
        loop_.cancel(entry.timer);
        entry.link->flushNow();
    }
}

Result<Address> WebSocketPeerLinks::listen(const Address &address)
{
    return listener_.listen(address);
}

void WebSocketPeerLinks::setHandlers(MessageHandler onMessage, LostHandler onLost)
{
    onMessage_ = std::move(onMessage);
    onLost_ = std::move(onLost);
}

void WebSocketPeerLinks::setPeer(const InstanceId &id, const Address &address)
{
    Peer &peer = peerOf(id);
    if (peer.address == address) {
        return;
    }
    const bool moved = peer.address.has_value();
    peer.address = address;
    if (moved) {
        loseLinks(peer);
    }
    peer.backoff = Duration{0};
    peer.notBefore = {};
}

void WebSocketPeerLinks::removePeer(const InstanceId &id)
{
    const auto found = peers_.find(id);
    if (found == peers_.end()) {
        return;
    }
    // With an address the peer is known until its links are gone.
    found->second.address = Address{};
    loseLinks(found->second);
    const std::size_t dropped = found->second.queue.drop();
    if (dropped > 0) {
        counters_.messagesDropped += dropped;
        reportLost(id);
    }
    peers_.erase(found);
}

bool WebSocketPeerLinks::send(const InstanceId &id, PeerMessage message)
{
    const auto found = peers_.find(id);
    if (found == peers_.end()) {
        return false;
    }
    Peer &peer = found->second;
    const bool reachable = preferred(peer) != nullptr || (peer.address && loop_.now() >= peer.notBefore);
    if (!reachable || !peer.queue.push(std::move(message))) {
        ++counters_.messagesDropped;
        return false;
    }
    markForFlush(id);
    return true;
}

std::uint32_t WebSocketPeerLinks::openLinks() const
{
    return greetedLinks_;
}

const PeerLinkCounters &WebSocketPeerLinks::counters() const
{
    return counters_;
}

void WebSocketPeerLinks::opened(Link &link)
{
    link.send(encodeFrame({Hello{PeerProtocol, self_, incarnation_}}));
    ++counters_.framesSent;
    ++counters_.messagesSent;
}

void WebSocketPeerLinks::received(Link &link, const std::string &frame)
{
    Entry &entry = links_.at(&link);
    if (entry.leaving) {
        return;
    }
    ++counters_.framesReceived;
    auto messages = decodeFrame(frame);
    if (!messages) {
        ++counters_.brokenFrames;
        lose(entry);
        return;
    }
    if (!entry.greeted) {
        if (messages->empty() || !greet(entry, messages->front())) {
            lose(entry);
            return;
        }
        ++counters_.messagesReceived;
        messages->erase(messages->begin());
    }
    deliver(link, std::move(*messages));
}

void WebSocketPeerLinks::deliver(Link &link, std::vector<PeerMessage> messages)
{
    Entry &entry = links_.at(&link);
    const InstanceId from = entry.peer;
    for (PeerMessage &message : messages) {
        // The handler may have closed the link.
        if (entry.leaving) {
            return;
        }
        if (std::holds_alternative<Hello>(message)) {
            ++counters_.brokenFrames;
            lose(entry);
            return;
        }
        ++counters_.messagesReceived;
        onMessage_(from, std::move(message));
    }
}

WebSocketPeerLinks::Peer &WebSocketPeerLinks::peerOf(const InstanceId &id)
{
    Peer &peer = peers_[id];
    peer.id = id;
    return peer;
}

void WebSocketPeerLinks::markForFlush(const InstanceId &peer)
{
    toFlush_.insert(peer);
    nextTurn();
}

void WebSocketPeerLinks::nextTurn()
{
    if (turn_ == 0) {
        turn_ = loop_.schedule(Duration{0}, [this] { turn(); });
    }
}

void WebSocketPeerLinks::turn()
{
    turn_ = 0;
    for (const Link *link : std::exchange(toDestroy_, {})) {
        links_.erase(link);
    }
    for (const InstanceId &id : std::exchange(toReport_, {})) {
        if (onLost_) {
            onLost_(id);
        }
    }
    for (const InstanceId &id : std::exchange(toFlush_, {})) {
        const auto found = peers_.find(id);
        if (found != peers_.end()) {
            flush(found->second);
        }
    }
}

void WebSocketPeerLinks::flush(Peer &peer)
{
    Link *link = preferred(peer);
    if (link == nullptr) {
        if (peer.dialled == nullptr && peer.address && !peer.queue.empty()) {
            dial(peer);
        }
        return;
    }
    while (!peer.queue.empty() && link->backlog() < MaxBacklogBytes) {
        const std::vector<PeerMessage> messages = peer.queue.takeFrame();
        link->send(encodeFrame(messages));
        ++counters_.framesSent;
        counters_.messagesSent += messages.size();
    }
}

void WebSocketPeerLinks::writable(Link &link)
{
    const Entry &entry = links_.at(&link);
    const auto peer = peers_.find(entry.peer);
    if (!entry.leaving && peer != peers_.end() && preferred(peer->second) == &link) {
        flush(peer->second);
    }
}

std::unique_ptr<PeerLinks> makePeerLinks(EventLoop &loop, const InstanceId &self, std::uint64_t incarnation)
{
    return std::make_unique<WebSocketPeerLinks>(loop, self, incarnation);
}

} // namespace Burdock
