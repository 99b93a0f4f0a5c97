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

/// PeerLinks that are implemented with Link.
///
/// Each pair of instances needs one link, which the first sender dials. If both dial at the same time, there are two links.
/// Both sides then send on the link that was dialled by the instance with the smaller name. The other link is closed by its
/// dialler once it was idle for some time, so that no message in transit is lost.
class WebSocketPeerLinks final : public PeerLinks, public LinkOwner, private MemoryBudget::Member
{
public:
    WebSocketPeerLinks(EventLoop &loop, InstanceId self, std::uint64_t incarnation, std::shared_ptr<MemoryBudget> memory);
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

    /// A link and its state.
    struct Entry
    {
        std::unique_ptr<Link> link;
        Side side = Side::Dialled;
        /// The peer's name. Empty on an accepted link before its Hello.
        InstanceId peer;
        bool established = false;
        /// No longer in use; will be flushed and destroyed.
        bool closing = false;
        /// The timeout of the Hello, of an idle redundant link, or of the final flush.
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
        TimePoint nextDialTime;
    };

    void onOpened(Link &link) override;
    void onFrame(Link &link, const std::string &frame) override;
    void onWritable(Link &link) override;
    void onEnded(Link &link, LinkEndReason end) override;

    void addHolders(std::vector<MemoryBudget::Holder *> &holders) override;
    bool contains(const MemoryBudget::Holder *holder) const override;

    void accept(int socket);
    void dial(Peer &peer);
    Entry &addLink(std::unique_ptr<Link> link, Side side, const InstanceId &peer);
    bool handleHello(Entry &entry, const PeerMessage &message);
    bool establish(Entry &entry, const Hello &hello);
    void deliver(Link &link, std::vector<PeerMessage> messages);

    Peer &peerOf(const InstanceId &id);
    Link *establishedLink(Link *link) const;
    Link *preferredLink(const Peer &peer) const;
    void watchRedundantLink(Peer &peer);
    void closeRedundantLinkIfIdle(Link &link);

    void scheduleTurn();
    void markForFlush(const InstanceId &peer);
    void runTurn();
    void flush(Peer &peer);

    void closeLink(Entry &entry, bool redundant);
    void destroyLater(Entry &entry);
    void failLink(Entry &entry);
    void failLinks(const Peer &peer);
    void detach(Entry &entry);
    void scheduleLostReport(const InstanceId &peer);
    void increaseBackoff(Peer &peer);
    void removeIfUnknown(const InstanceId &peer);

    EventLoop &loop_;
    const InstanceId self_;
    const std::uint64_t incarnation_;
    const std::shared_ptr<MemoryBudget> memory_;
    WebSocketEndpoints endpoints_;
    Listener listener_;
    std::minstd_rand jitter_;
    MessageHandler onMessage_;
    LostHandler onLost_;
    PeerLinkCounters counters_;
    std::unordered_map<InstanceId, Peer> peers_;
    std::unordered_map<const Link *, Entry> links_;
    std::set<const Link *> linksToDestroy_;
    std::set<InstanceId> peersToFlush_;
    std::set<InstanceId> lostPeers_;
    std::uint32_t establishedLinks_ = 0;
    std::uint32_t acceptedLinks_ = 0;
    TimerId turnTimer_ = 0;
};

} // namespace Burdock
