#include "internal/websocketpeerlinks.h"

#include <algorithm>
#include <event2/util.h>
#include <utility>

// The life of a link: dialled or accepted, greeted, spare, lost, destroyed.

namespace Burdock
{

namespace
{

/// From the start of a dial, or from an accepted connection, to the peer's Hello.
constexpr Duration GreetingTime = std::chrono::seconds(3);
/// How long a second link to the same peer must be quiet before its dialler closes it.
constexpr Duration SpareTime = std::chrono::seconds(2);
/// How long a link that is closing may take to write what waits.
constexpr Duration FlushTime = std::chrono::seconds(1);

constexpr Duration FirstBackoff = std::chrono::milliseconds(100);
constexpr Duration LongestBackoff = std::chrono::seconds(5);

/// Accepted links above this many are closed at once.
constexpr std::uint32_t MaxAcceptedLinks = 4096;

} // namespace

void WebSocketPeerLinks::loseLinks(const Peer &peer)
{
    for (Link *link : {peer.dialled, peer.accepted}) {
        if (link != nullptr) {
            lose(links_.at(link));
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
    adopt(std::make_unique<Link>(loop_, endpoints_, *this, socket), Side::Accepted, {}).link->start();
}

void WebSocketPeerLinks::dial(Peer &peer)
{
    Entry &entry = adopt(std::make_unique<Link>(loop_, endpoints_, *this, *peer.address), Side::Dialled, peer.id);
    peer.dialled = entry.link.get();
    entry.link->start();
}

WebSocketPeerLinks::Entry &WebSocketPeerLinks::adopt(std::unique_ptr<Link> link, Side side, const InstanceId &peer)
{
    const Link *key = link.get();
    Entry &entry = links_[key];
    entry.link = std::move(link);
    entry.side = side;
    entry.peer = peer;
    entry.timer = loop_.schedule(GreetingTime, [this, &entry] {
        entry.timer = 0;
        lose(entry);
    });
    return entry;
}

bool WebSocketPeerLinks::greet(Entry &entry, const PeerMessage &message)
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
    return expected && hello->instance != self_ && install(entry, *hello);
}

bool WebSocketPeerLinks::install(Entry &entry, const Hello &hello)
{
    Peer &peer = peerOf(hello.instance);
    if (hello.incarnation < peer.incarnation) {
        return false;
    }
    const bool restarted = hello.incarnation > peer.incarnation;
    peer.incarnation = hello.incarnation;
    peer.backoff = Duration{0};
    entry.peer = hello.instance;
    entry.greeted = true;
    loop_.cancel(std::exchange(entry.timer, 0));
    ++greetedLinks_;
    ++counters_.linksOpened;
    Link *&place = entry.side == Side::Dialled ? peer.dialled : peer.accepted;
    Link *replaced = std::exchange(place, entry.link.get());
    Link *other = entry.side == Side::Dialled ? peer.accepted : peer.dialled;
    if (replaced != nullptr && replaced != entry.link.get()) {
        lose(links_.at(replaced));
    }
    if (restarted && greeted(other) != nullptr) {
        lose(links_.at(other));
    }
    watchSpare(peer);
    markForFlush(peer.id);
    return true;
}

Link *WebSocketPeerLinks::greeted(Link *link) const
{
    return link != nullptr && links_.at(link).greeted ? link : nullptr;
}

Link *WebSocketPeerLinks::preferred(const Peer &peer) const
{
    Link *dialled = greeted(peer.dialled);
    Link *accepted = greeted(peer.accepted);
    if (dialled != nullptr && accepted != nullptr) {
        return self_ < peer.id ? dialled : accepted;
    }
    return dialled != nullptr ? dialled : accepted;
}

void WebSocketPeerLinks::watchSpare(Peer &peer)
{
    Link *spare = greeted(peer.dialled);
    if (spare == nullptr || greeted(peer.accepted) == nullptr || preferred(peer) == spare) {
        return;
    }
    Entry &entry = links_.at(spare);
    loop_.cancel(entry.timer);
    entry.timer = loop_.schedule(SpareTime, [this, spare] { closeSpareIfQuiet(*spare); });
}

void WebSocketPeerLinks::closeSpareIfQuiet(Link &link)
{
    Entry &entry = links_.at(&link);
    entry.timer = 0;
    Peer &peer = peers_.at(entry.peer);
    if (preferred(peer) == &link) {
        return;
    }
    if (loop_.now() - link.lastActivity() < SpareTime) {
        watchSpare(peer);
        return;
    }
    detach(entry);
    retire(entry, true);
}

void WebSocketPeerLinks::ended(Link &link, LinkEnd end)
{
    Entry &entry = links_.at(&link);
    counters_.oversizeFrames += end == LinkEnd::Oversize ? 1 : 0;
    counters_.brokenFrames += end == LinkEnd::Malformed ? 1 : 0;
    const auto peer = peers_.find(entry.peer);
    if (!entry.leaving && end == LinkEnd::Spare && peer != peers_.end() && preferred(peer->second) != &link) {
        detach(entry);
    } else if (!entry.leaving) {
        lose(entry);
    }
    destroyLater(entry);
}

void WebSocketPeerLinks::lose(Entry &entry)
{
    if (entry.leaving) {
        return;
    }
    const bool wasGreeted = entry.greeted;
    const InstanceId id = entry.peer;
    detach(entry);
    retire(entry, false);
    const auto found = peers_.find(id);
    if (found == peers_.end()) {
        return;
    }
    Peer &peer = found->second;
    if (!wasGreeted && entry.side == Side::Dialled) {
        backOff(peer);
    }
    const bool stranded = preferred(peer) == nullptr && peer.dialled == nullptr;
    const std::size_t dropped = stranded ? peer.queue.drop() : 0;
    counters_.messagesDropped += dropped;
    if (wasGreeted || dropped > 0) {
        reportLost(id);
    }
    forgetIfUnknown(id);
}

void WebSocketPeerLinks::detach(Entry &entry)
{
    if (entry.greeted) {
        --greetedLinks_;
        ++counters_.linksClosed;
        entry.greeted = false;
    }
    const auto found = peers_.find(entry.peer);
    if (found == peers_.end()) {
        return;
    }
    Link *&place = entry.side == Side::Dialled ? found->second.dialled : found->second.accepted;
    if (place == entry.link.get()) {
        place = nullptr;
    }
}

void WebSocketPeerLinks::retire(Entry &entry, bool spare)
{
    entry.leaving = true;
    loop_.cancel(entry.timer);
    entry.timer = loop_.schedule(FlushTime, [this, &entry] {
        entry.timer = 0;
        destroyLater(entry);
    });
    entry.link->closeAfterFlush(spare);
}

void WebSocketPeerLinks::destroyLater(Entry &entry)
{
    entry.leaving = true;
    loop_.cancel(std::exchange(entry.timer, 0));
    if (!toDestroy_.insert(entry.link.get()).second) {
        return;
    }
    acceptedLinks_ -= entry.side == Side::Accepted ? 1 : 0;
    nextTurn();
}

void WebSocketPeerLinks::reportLost(const InstanceId &peer)
{
    toReport_.insert(peer);
    nextTurn();
}

void WebSocketPeerLinks::backOff(Peer &peer)
{
    peer.backoff = std::clamp(peer.backoff * 2, FirstBackoff, LongestBackoff);
    std::uniform_int_distribution<Duration::rep> draw(peer.backoff.count() / 2, peer.backoff.count());
    peer.notBefore = loop_.now() + Duration(draw(jitter_));
}

void WebSocketPeerLinks::forgetIfUnknown(const InstanceId &id)
{
    const auto found = peers_.find(id);
    if (found != peers_.end() && !found->second.address && found->second.dialled == nullptr && found->second.accepted == nullptr) {
        peers_.erase(found);
    }
}

} // namespace Burdock
