#pragma once

#include "link.h"
#include "listener.h"
#include "peerqueue.h"
#include "websocket.h"

#include <burdock/wire/peerlinks.h>

#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>

namespace Burdock
{

/// PeerLinks over Link.
///
/// Each pair of instances needs one link, and whoever has something to send first dials it. When both dial at
/// once there are two for a moment: both sides then send on the one that the smaller name dialled, and the
/// dialler of the other closes it after a quiet time, so that nothing under way is cut.
class WebSocketPeerLinks final : public PeerLinks, public LinkOwner
{
public:
    WebSocketPeerLinks(EventLoop &loop, InstanceId self, std::uint64_t incarnation);
    ~WebSocketPeerLinks() override;
    WebSocketPeerLinks(const WebSocketPeerLinks &) = delete;
    WebSocketPeerLinks &operator=(const WebSocketPeerLinks &) = delete;

    Result<Address> listen(const Address &address) override;
    void setHandlers(MessageHandler onMessage, LostHandler onLost) override;
    void setPeer(const InstanceId &peer, const Address &address) override;
    void removePeer(const InstanceId &peer) override;
    bool send(const InstanceId &peer, PeerMessage message) override;
    std::uint32_t openLinks() const override;
    const PeerLinkCounters &counters() const override;

private:
    enum class Side {
        Dialled,
        Accepted,
    };

    /// A link and what is known of it.
    struct Entry
    {
        std::unique_ptr<Link> link;
        Side side = Side::Dialled;
        /// The peer; on an accepted link only after its Hello.
        InstanceId peer;
        bool greeted = false;
        /// Out of use; waits to be flushed and destroyed.
        bool leaving = false;
        /// Limits the time to the Hello, of a quiet spare link, or of the last flush.
        TimerId timer = 0;
    };

    struct Peer
    {
        InstanceId id;
        std::optional<Address> address;
        PeerQueue queue;
        Link *dialled = nullptr;
        Link *accepted = nullptr;
        std::uint64_t incarnation = 0;
        Duration backoff{0};
        TimePoint notBefore;
    };

    void opened(Link &link) override;
    void received(Link &link, const std::string &frame) override;
    void writable(Link &link) override;
    void ended(Link &link, LinkEnd end) override;

    void accept(int socket);
    void dial(Peer &peer);
    Entry &adopt(std::unique_ptr<Link> link, Side side, const InstanceId &peer);
    bool greet(Entry &entry, const PeerMessage &message);
    bool install(Entry &entry, const Hello &hello);
    void deliver(Link &link, std::vector<PeerMessage> messages);

    Peer &peerOf(const InstanceId &id);
    Link *greeted(Link *link) const;
    Link *preferred(const Peer &peer) const;
    void watchSpare(Peer &peer);
    void closeSpareIfQuiet(Link &link);

    void nextTurn();
    void markForFlush(const InstanceId &peer);
    void turn();
    void flush(Peer &peer);

    void retire(Entry &entry, bool spare);
    void destroyLater(Entry &entry);
    void lose(Entry &entry);
    void loseLinks(const Peer &peer);
    void detach(Entry &entry);
    void reportLost(const InstanceId &peer);
    void backOff(Peer &peer);
    void forgetIfUnknown(const InstanceId &peer);

    EventLoop &loop_;
    const InstanceId self_;
    const std::uint64_t incarnation_;
    WebSocketEndpoints endpoints_;
    Listener listener_;
    std::minstd_rand jitter_;
    MessageHandler onMessage_;
    LostHandler onLost_;
    PeerLinkCounters counters_;
    std::unordered_map<InstanceId, Peer> peers_;
    std::unordered_map<const Link *, Entry> links_;
    std::set<const Link *> toDestroy_;
    std::set<InstanceId> toFlush_;
    std::set<InstanceId> toReport_;
    std::uint32_t greetedLinks_ = 0;
    std::uint32_t acceptedLinks_ = 0;
    TimerId turn_ = 0;
};

} // namespace Burdock
