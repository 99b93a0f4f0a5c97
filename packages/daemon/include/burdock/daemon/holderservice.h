#pragma once

#include <burdock/policy/holder.h>
#include <burdock/wire/peerlinks.h>

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace Burdock
{

/// Serves peers' sub-requests from this instance's holder and keeps them informed of its servers.
class HolderService
{
public:
    /// `peers`: all other instances that are alive.
    HolderService(PeerLinks &links, Holder &holder, std::function<std::vector<InstanceId>()> peers);

    /// A peer asks for one of our servers. While refusing, it gets NotRun at once.
    void submit(const InstanceId &from, const SubRequest &request);

    /// From now on new sub-requests are refused; those taken are finished.
    void refuseNewWork();

    /// A peer gives up a sub-request.
    void cancel(const InstanceId &from, const SubRequestId &id);

    /// A peer wants all reports, now and as they change.
    void subscribe(const InstanceId &peer);

    /// A report of one of our servers changed. That a server is leaving goes to all instances, also those that never asked here:
    /// any of them may be its holder next, and would give it work until it hears for itself.
    void publish(const ServerReport &report);

    /// The link to a peer is lost: nobody waits for its sub-requests any more.
    void onPeerLost(const InstanceId &peer);

    /// How many sub-requests of peers wait or run.
    std::size_t inFlight() const;

private:
    PeerLinks &links_;
    Holder &holder_;
    const std::function<std::vector<InstanceId>()> peers_;
    bool refusing_ = false;
    std::set<InstanceId> subscribers_;
    /// Servers of which it was recipients that they are leaving.
    std::set<ServerId> announcedLeaving_;
    std::map<InstanceId, std::set<SubRequestId>> requestsByPeer_;
};

} // namespace Burdock
