#pragma once

#include <burdock/routing/instancetable.h>
#include <burdock/routing/peerrequests.h>
#include <burdock/routing/routingconfig.h>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace Burdock
{

/// Chooses the instance that serves a request for one that cannot reach the servers.
///
/// Load: some or most instances of a region are cut off from the servers at the same time, while peers may be killed, suspended or
/// cut off as well. Peers of the own region come first. Each instance uses a few peers only, others than its neighbours use, so that
/// the number of connections stays small in a large system; among these it takes the one of two random ones with fewer of its
/// requests in flight. A peer that cannot help or is lost is left out for a while; one that had no room for a request, or is silent, is
/// used only if there is no other. If there is none at all, which is so when the few that reach the servers are restarted, those that
/// were left out are tried, and then those that were listed until just before: an instance that stops still serves for a while.
class PeerChoice
{
public:
    /// Returns the instances that can help, in groups in the order of preference.
    using Helpers = std::function<std::vector<InstanceTable::Records>()>;
    /// Returns whether other instances take clients, though they may not be able to help.
    using HasOthers = std::function<bool()>;
    /// Returns whether an instance has a record; one that stops has none.
    using HasRecord = std::function<bool(const InstanceId &)>;

    /// How a request at a peer ended: with an answer, since the peer had no room for it or cannot help, since it was lost, or by this
    /// instance.
    enum class Ending { Answered, NoRoom, Unable, Lost, Cancelled };

    PeerChoice(Helpers helpers, HasOthers hasOthers, HasRecord hasRecord, InstanceId self, std::uint64_t seed);

    /// Takes note of the instances that can help, since those that stop serve for a while after they are no longer among them.
    void onHelpersChanged(TimePoint now);

    /// Returns a peer that is not in `tried`, or nothing if none can help. Requests of a route that is served in some regions only
    /// go to peers there whose builds keep them there.
    std::optional<Peer> choose(const Route &route, const std::vector<InstanceId> &tried, TimePoint now);

    /// Whether no other instance that takes clients can reach the servers either: they are down for all.
    bool isNoOneConnected() const;

    void onSent(const InstanceId &peer, TimePoint now);
    void onEnded(const InstanceId &peer, Ending ending, TimePoint now);

    /// The maximum number of requests in flight at one peer.
    static constexpr std::uint32_t MaxInFlight = 56;

private:
    struct PeerState
    {
        std::uint32_t inFlight = 0;
        /// When the peer last answered, or since when requests wait there if that is later.
        TimePoint heardAt{};
        TimePoint leftOutUntil{};
        /// Until when others are preferred.
        TimePoint noRoomUntil{};
    };

    /// A peer that could help, and since when it no longer can.
    struct ListedPeer
    {
        InstanceRecord record;
        std::optional<TimePoint> goneSince;
    };

    /// Returns the peer with the fewest requests in flight among those that were left out, or else among those not listed any more.
    std::optional<Peer> lastResort(const Route &route, const InstanceTable::Records &leftOut, const std::vector<InstanceId> &tried, TimePoint now);
    std::uint32_t inFlight(const InstanceId &peer) const;
    bool isSilent(const InstanceId &peer, TimePoint now) const;
    bool hasNoRoom(const InstanceId &peer, TimePoint now) const;
    bool isLeftOut(const InstanceId &peer, TimePoint now) const;
    std::size_t rank(const InstanceId &peer) const;
    Peer chooseFrom(InstanceTable::Records candidates);
    void forgetUnused(TimePoint now);

    const Helpers helpers_;
    const HasOthers hasOthers_;
    const HasRecord hasRecord_;
    const InstanceId self_;
    std::mt19937_64 random_;
    std::unordered_map<InstanceId, PeerState> states_;
    std::map<InstanceId, ListedPeer> listed_;
};

} // namespace Burdock
