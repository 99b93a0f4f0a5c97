#pragma once

#include <burdock/policy/backendport.h>
#include <burdock/policy/ejection.h>
#include <burdock/policy/rankqueue.h>
#include <burdock/policy/slotlimit.h>
#include <burdock/values/configuration.h>

#include <map>

namespace Burdock
{

/// What a holder keeps for one backend server.
class HolderServer
{
public:
    HolderServer(ServerId id, const FleetDeclaration &fleet);

    /// Takes over changed slots, connections and floors.
    void configure(const FleetDeclaration &fleet);

    RankQueue &queue();
    const RankQueue &queue() const;
    std::uint32_t slots() const;
    const FleetName &fleet() const;

    /// Whether the instance list or a peer says that the server is leaving.
    void setListedDraining(bool draining);
    bool draining(TimePoint now) const;

    /// Whether a sub-request with so much time could be answered in time, if it had to wait.
    bool canMeetDeadline(const QueuedRequest &request) const;

    /// Learns from a reply to a request of this rank begun at `started`.
    void recordReply(const BackendReply &reply, Rank rank, TimePoint started, TimePoint now);

    /// Learns that a running request was given up at its deadline.
    void recordTimeout(Rank rank, Duration took);

    ServerReport report(TimePoint now) const;

private:
    void recordFailedReply(const BackendReply &reply, TimePoint started, TimePoint now);

    ServerId id_;
    FleetName fleet_;
    RankQueue queue_;
    SlotLimit limit_;
    Ejection ejection_;
    bool listedDraining_ = false;
    TimePoint ownDrainingUntil_{};
    std::map<IndexName, VersionWindow> versions_;
};

} // namespace Burdock
