#pragma once

#include <burdock/policy/backendport.h>
#include <burdock/policy/ejection.h>
#include <burdock/policy/rankqueue.h>
#include <burdock/policy/slotlimit.h>
#include <burdock/values/configuration.h>

#include <map>

namespace Burdock
{

/// The state that a holder keeps for one backend server.
class HolderServer
{
public:
    HolderServer(ServerId id, const FleetDeclaration &fleet);

    /// Applies changed slots, connections and floors.
    void configure(const FleetDeclaration &fleet);

    RankQueue &queue();
    const RankQueue &queue() const;
    std::uint32_t slots() const;
    const FleetName &fleet() const;

    /// Sets whether the instance list or a peer reports the server as draining. A revoked report also clears the
    /// server's own one.
    void setListedDraining(bool draining);
    bool draining(TimePoint now) const;

    /// Returns true if the request can start now, or if its estimated wait and service time fit into its deadline.
    bool canMeetDeadline(const QueuedRequest &request) const;

    /// Updates service time, slot limit and ejection from a reply to a request of this rank that started at
    /// `started`.
    void recordReply(const BackendReply &reply, Rank rank, TimePoint started, TimePoint now);

    /// Records that a running request was cancelled at its deadline after `took`.
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
