#include "internal/websocketpeerlinks.h"

#include <burdock/wire/factories.h>

#include <algorithm>
#include <event2/util.h>
#include <utility>

namespace Burdock
{

namespace
{

/// Messages stay in the peer's queue while this many bytes are queued for its socket.
constexpr std::size_t MaxBacklogBytes = 1048576;

} // namespace

WebSocketPeerLinks::WebSocketPeerLinks(EventLoop &loop, InstanceId self, std::uint64_t incarnation, std::shared_ptr<MemoryBudget> memory)
    : loop_(loop)
    , self_(std::move(self))
    , incarnation_(incarnation)
    , memory_(memory ? std::move(memory) : std::make_shared<MemoryBudget>(loop, MemoryTerms()))
    , listener_(loop, [this](int socket) { accept(socket); })
    , jitter_(static_cast<std::minstd_rand::result_type>(std::hash<InstanceId>()(self_) ^ incarnation))
{
    memory_->add(*this);
}

WebSocketPeerLinks::~WebSocketPeerLinks()
{
    memory_->remove(*this);
    loop_.cancel(turnTimer_);
    for (auto &[id, peer] : peers_) {
        if (preferredLink(peer) != nullptr) {
            flush(peer);
        }
    }
    for (auto &[link, entry] : links_) {
        loop_.cancel(entry.timer);
        entry.link->tryFlush();
    }
}

Result<Address> WebSocketPeerLinks::listen(const Address &address)
{
    return listener_.listen(address);
}

void WebSocketPeerLinks::addHolders(std::vector<MemoryBudget::Holder *> &holders)
{
    for (const auto &[link, entry] : links_) {
        if (!entry.closing && entry.link->holdsMemory()) {
            holders.push_back(entry.link.get());
        }
    }
}

bool WebSocketPeerLinks::contains(const MemoryBudget::Holder *holder) const
{
    return std::any_of(links_.begin(), links_.end(), [holder](const auto &link) { return link.second.link.get() == holder; });
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
        failLinks(peer);
    }
    peer.backoff = Duration{0};
    peer.nextDialTime = {};
}

void WebSocketPeerLinks::removePeer(const InstanceId &id)
{
    const auto found = peers_.find(id);
    if (found == peers_.end()) {
        return;
    }
    // A peer without an address would be removed together with its last link, so set one until this function removes it.
    found->second.address = Address{};
    failLinks(found->second);
    const std::size_t dropped = found->second.queue.clear();
    if (dropped > 0) {
        counters_.messagesDropped += dropped;
        scheduleLostReport(id);
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
    const bool reachable = preferredLink(peer) != nullptr || (peer.address && loop_.now() >= peer.nextDialTime);
    if (!reachable || !peer.queue.push(std::move(message))) {
        ++counters_.messagesDropped;
        return false;
    }
    markForFlush(id);
    return true;
}

std::uint32_t WebSocketPeerLinks::openLinks() const
{
    return establishedLinks_;
}

const PeerLinkCounters &WebSocketPeerLinks::counters() const
{
    return counters_;
}

void WebSocketPeerLinks::onOpened(Link &link)
{
    link.send(encodeFrame({Hello{PeerProtocol, self_, incarnation_}}));
    ++counters_.framesSent;
    ++counters_.messagesSent;
}

void WebSocketPeerLinks::onFrame(Link &link, const std::string &frame)
{
    Entry &entry = links_.at(&link);
    if (entry.closing) {
        return;
    }
    ++counters_.framesReceived;
    auto messages = decodeFrame(frame);
    if (!messages) {
        ++counters_.brokenFrames;
        failLink(entry);
        return;
    }
    if (!entry.established) {
        if (messages->empty() || !handleHello(entry, messages->front())) {
            failLink(entry);
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
        if (entry.closing) {
            return;
        }
        if (std::holds_alternative<Hello>(message)) {
            ++counters_.brokenFrames;
            failLink(entry);
            return;
        }
        ++counters_.messagesReceived;
        loop_.boundary().run("peer message", [&] { onMessage_(from, std::move(message)); });
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
    peersToFlush_.insert(peer);
    scheduleTurn();
}

void WebSocketPeerLinks::scheduleTurn()
{
    if (turnTimer_ == 0) {
        turnTimer_ = loop_.schedule(Duration{0}, [this] { runTurn(); });
    }
}

void WebSocketPeerLinks::runTurn()
{
    turnTimer_ = 0;
    for (const Link *link : std::exchange(linksToDestroy_, {})) {
        links_.erase(link);
    }
    for (const InstanceId &id : std::exchange(lostPeers_, {})) {
        if (onLost_) {
            loop_.boundary().run("lost peer", [&] { onLost_(id); });
        }
    }
    for (const InstanceId &id : std::exchange(peersToFlush_, {})) {
        const auto found = peers_.find(id);
        if (found != peers_.end()) {
            flush(found->second);
        }
    }
}

void WebSocketPeerLinks::flush(Peer &peer)
{
    Link *link = preferredLink(peer);
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

void WebSocketPeerLinks::onWritable(Link &link)
{
    const Entry &entry = links_.at(&link);
    const auto peer = peers_.find(entry.peer);
    if (!entry.closing && peer != peers_.end() && preferredLink(peer->second) == &link) {
        flush(peer->second);
    }
}

std::unique_ptr<PeerLinks> makePeerLinks(EventLoop &loop, const InstanceId &self, std::uint64_t incarnation, std::shared_ptr<MemoryBudget> memory)
{
    return std::make_unique<WebSocketPeerLinks>(loop, self, incarnation, std::move(memory));
}

} // namespace Burdock
