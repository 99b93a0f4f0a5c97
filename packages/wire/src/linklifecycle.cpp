#include "internal/websocketpeerlinks.h"

#include <algorithm>
#include <event2/util.h>
#include <utility>

// The life cycle of a link: dialled or accepted, established, redundant, failed, destroyed.

namespace Burdock
{

namespace
{

/// The time limit for the peer's Hello, from the start of dialling or from accepting the connection.
constexpr Duration HelloTimeout = std::chrono::seconds(3);
/// How long a second link to the same peer must be idle before its dialler closes it.
constexpr Duration RedundantIdleTime = std::chrono::seconds(2);
/// The time limit for a closing link to write its queued bytes.
constexpr Duration FlushTimeout = std::chrono::seconds(1);

constexpr Duration MinBackoff = std::chrono::milliseconds(100);
constexpr Duration MaxBackoff = std::chrono::seconds(5);

/// Accepted links in excess of this number are closed immediately.
constexpr std::uint32_t MaxAcceptedLinks = 4096;

} // namespace

void WebSocketPeerLinks::failLinks(const Peer &peer)
{
    for (Link *link : {peer.dialled, peer.accepted}) {
        if (link != nullptr) {
            failLink(links_.at(link));
        }
    }
}

void WebSocketPeerLinks::accept(int socket)
{
    if (acceptedLinks_ >= MaxAcceptedLinks) {
        evutil_closesocket(socket);
        return;
    }
    ++acceptedLinks_;
    addLink(std::make_unique<Link>(loop_, endpoints_, *this, *memory_, socket), Side::Accepted, {}).link->start();
}

void WebSocketPeerLinks::dial(Peer &peer)
{
    Entry &entry = addLink(std::make_unique<Link>(loop_, endpoints_, *this, *memory_, *peer.address), Side::Dialled, peer.id);
    peer.dialled = entry.link.get();
    entry.link->start();
}

WebSocketPeerLinks::Entry &WebSocketPeerLinks::addLink(std::unique_ptr<Link> link, Side side, const InstanceId &peer)
{
    const Link *key = link.get();
    Entry &entry = links_[key];
    entry.link = std::move(link);
    entry.side = side;
    entry.peer = peer;
    entry.timer = loop_.schedule(HelloTimeout, [this, &entry] {
        entry.timer = 0;
        failLink(entry);
    });
    return entry;
}

bool WebSocketPeerLinks::handleHello(Entry &entry, const PeerMessage &message)
{
    const auto *hello = std::get_if<Hello>(&message);
    if (hello == nullptr) {
        ++counters_.brokenFrames;
        return false;
    }
    if (hello->protocol != PeerProtocol) {
        ++counters_.wrongProtocol;
        return false;
    }
    const bool expected = entry.side == Side::Accepted || hello->instance == entry.peer;
    return expected && hello->instance != self_ && establish(entry, *hello);
}

bool WebSocketPeerLinks::establish(Entry &entry, const Hello &hello)
{
    Peer &peer = peerOf(hello.instance);
    if (hello.incarnation < peer.incarnation) {
        return false;
    }
    const bool restarted = hello.incarnation > peer.incarnation;
    peer.incarnation = hello.incarnation;
    peer.backoff = Duration{0};
    entry.peer = hello.instance;
    entry.established = true;
    entry.link->allowLongFrames();
    loop_.cancel(std::exchange(entry.timer, 0));
    ++establishedLinks_;
    ++counters_.linksOpened;
    Link *&slot = entry.side == Side::Dialled ? peer.dialled : peer.accepted;
    Link *replaced = std::exchange(slot, entry.link.get());
    Link *other = entry.side == Side::Dialled ? peer.accepted : peer.dialled;
    if (replaced != nullptr && replaced != entry.link.get()) {
        failLink(links_.at(replaced));
    }
    if (restarted && establishedLink(other) != nullptr) {
        failLink(links_.at(other));
    }
    watchRedundantLink(peer);
    markForFlush(peer.id);
    return true;
}

Link *WebSocketPeerLinks::establishedLink(Link *link) const
{
    return link != nullptr && links_.at(link).established ? link : nullptr;
}

Link *WebSocketPeerLinks::preferredLink(const Peer &peer) const
{
    Link *dialled = establishedLink(peer.dialled);
    Link *accepted = establishedLink(peer.accepted);
    if (dialled != nullptr && accepted != nullptr) {
        return self_ < peer.id ? dialled : accepted;
    }
    return dialled != nullptr ? dialled : accepted;
}

void WebSocketPeerLinks::watchRedundantLink(Peer &peer)
{
    Link *redundant = establishedLink(peer.dialled);
    if (redundant == nullptr || establishedLink(peer.accepted) == nullptr || preferredLink(peer) == redundant) {
        return;
    }
    Entry &entry = links_.at(redundant);
    loop_.cancel(entry.timer);
    entry.timer = loop_.schedule(RedundantIdleTime, [this, redundant] { closeRedundantLinkIfIdle(*redundant); });
}

void WebSocketPeerLinks::closeRedundantLinkIfIdle(Link &link)
{
    Entry &entry = links_.at(&link);
    entry.timer = 0;
    Peer &peer = peers_.at(entry.peer);
    if (preferredLink(peer) == &link) {
        return;
    }
    if (loop_.now() - link.lastActivity() < RedundantIdleTime) {
        watchRedundantLink(peer);
        return;
    }
    detach(entry);
    closeLink(entry, true);
}

void WebSocketPeerLinks::onEnded(Link &link, LinkEndReason end)
{
    Entry &entry = links_.at(&link);
    counters_.oversizeFrames += end == LinkEndReason::Oversize ? 1 : 0;
    counters_.brokenFrames += end == LinkEndReason::Malformed ? 1 : 0;
    const auto peer = peers_.find(entry.peer);
    if (!entry.closing && end == LinkEndReason::Redundant && peer != peers_.end() && preferredLink(peer->second) != &link) {
        detach(entry);
    } else if (!entry.closing) {
        failLink(entry);
    }
    destroyLater(entry);
}

void WebSocketPeerLinks::failLink(Entry &entry)
{
    if (entry.closing) {
        return;
    }
    const bool wasEstablished = entry.established;
    const InstanceId id = entry.peer;
    detach(entry);
    closeLink(entry, false);
    const auto found = peers_.find(id);
    if (found == peers_.end()) {
        return;
    }
    Peer &peer = found->second;
    if (!wasEstablished && entry.side == Side::Dialled) {
        increaseBackoff(peer);
    }
    const bool noLinkLeft = preferredLink(peer) == nullptr && peer.dialled == nullptr;
    const std::size_t dropped = noLinkLeft ? peer.queue.clear() : 0;
    counters_.messagesDropped += dropped;
    if (wasEstablished || dropped > 0) {
        scheduleLostReport(id);
    }
    removeIfUnknown(id);
}

void WebSocketPeerLinks::detach(Entry &entry)
{
    if (entry.established) {
        --establishedLinks_;
        ++counters_.linksClosed;
        entry.established = false;
    }
    const auto found = peers_.find(entry.peer);
    if (found == peers_.end()) {
        return;
    }
    Link *&slot = entry.side == Side::Dialled ? found->second.dialled : found->second.accepted;
    if (slot == entry.link.get()) {
        slot = nullptr;
    }
}

void WebSocketPeerLinks::closeLink(Entry &entry, bool redundant)
{
    entry.closing = true;
    loop_.cancel(entry.timer);
    entry.timer = loop_.schedule(FlushTimeout, [this, &entry] {
        entry.timer = 0;
        destroyLater(entry);
    });
    entry.link->closeAfterFlush(redundant);
}

void WebSocketPeerLinks::destroyLater(Entry &entry)
{
    entry.closing = true;
    loop_.cancel(std::exchange(entry.timer, 0));
    if (!linksToDestroy_.insert(entry.link.get()).second) {
        return;
    }
    acceptedLinks_ -= entry.side == Side::Accepted ? 1 : 0;
    scheduleTurn();
}

void WebSocketPeerLinks::scheduleLostReport(const InstanceId &peer)
{
    lostPeers_.insert(peer);
    scheduleTurn();
}

void WebSocketPeerLinks::increaseBackoff(Peer &peer)
{
    peer.backoff = std::clamp(peer.backoff * 2, MinBackoff, MaxBackoff);
    std::uniform_int_distribution<Duration::rep> distribution(peer.backoff.count() / 2, peer.backoff.count());
    peer.nextDialTime = loop_.now() + Duration(distribution(jitter_));
}

void WebSocketPeerLinks::removeIfUnknown(const InstanceId &id)
{
    const auto found = peers_.find(id);
    if (found != peers_.end() && !found->second.address && found->second.dialled == nullptr && found->second.accepted == nullptr) {
        peers_.erase(found);
    }
}

} // namespace Burdock
