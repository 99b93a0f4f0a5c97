#pragma once

#include <burdock/policy/holder.h>
#include <burdock/wire/peerlinks.h>

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace Burdock
{

/// Runs peers' sub-requests on this instance's holder and sends peers the reports of its servers.
class HolderService
{
public:
    /// `peers` returns all other live instances.
    HolderService(PeerLinks &links, Holder &holder, std::function<std::vector<InstanceId>()> peers);

    /// Handles a peer's sub-request for a server held here. After refuseNewWork() it is refused at once with Draining and NotRun.
    void submit(const InstanceId &from, const SubRequest &request);

    /// Refuses all further sub-requests. Those already accepted are completed.
    void refuseNewWork();

    /// Cancels a peer's sub-request.
    void cancel(const InstanceId &from, const SubRequestId &id);

    /// Sends a peer all current reports and subscribes it to changes.
    void subscribe(const InstanceId &peer);

    /// Sends a changed report to the subscribers. If the draining state changed, it is sent to all instances: any of them may become
    /// the next holder of the server and would otherwise send it work until it learned of the draining itself.
    void publish(const ServerReport &report);

    /// Cancels the sub-requests of a peer whose link was lost and ends its subscription.
    void onPeerLost(const InstanceId &peer);

    /// Returns the number of peers' sub-requests that are queued or running.
    std::size_t inFlight() const;

private:
    PeerLinks &links_;
    Holder &holder_;
    const std::function<std::vector<InstanceId>()> peers_;
    bool refusing_ = false;
    std::set<InstanceId> subscribers_;
    /// Servers that were announced as draining.
    std::set<ServerId> announcedLeaving_;
    std::map<InstanceId, std::set<SubRequestId>> requestsByPeer_;
};

} // namespace Burdock
