#pragma once

#include <burdock/policy/holder.h>
#include <burdock/policy/subrequestport.h>
#include <burdock/wire/peerlinks.h>

#include <functional>
#include <map>
#include <set>

namespace Burdock
{

/// What the router has counted since the start.
struct RouterCounters
{
    std::uint64_t sentLocal = 0;
    std::uint64_t sentRemote = 0;
    std::uint64_t noHolder = 0;
    std::uint64_t lostLinks = 0;
    /// Replies that nobody waits for any more: late, doubled, or of an earlier incarnation.
    std::uint64_t unmatchedReplies = 0;
    /// Sub-requests whose holder said nothing until the deadline.
    std::uint64_t holderTimeouts = 0;
};

/// Takes the entry's sub-requests to the holder of their server, on this instance or on a peer.
///
/// Each reply is matched by the whole id: entry, incarnation and number. What was sent to a peer whose link is
/// lost may have run.
class HolderRouter final : public SubRequestPort
{
public:
    /// The holders of a server, preferred first; empty where the server is not listed.
    using FindHolders = std::function<std::vector<InstanceId>(const ServerId &server)>;
    using ReportHandler = std::function<void(const ServerReport &)>;

    HolderRouter(Runtime &runtime, PeerLinks &links, Holder &local, InstanceId self, std::uint64_t incarnation, FindHolders find);

    void send(const SubRequest &request, Callback done) override;
    void cancel(const SubRequestId &id) override;

    /// A reply or report came from a peer.
    void onReply(const SubReply &reply);
    void onPeerReport(const ServerReport &report);

    /// The link to a peer is lost.
    void onPeerLost(const InstanceId &peer);

    /// Where reports of peers' servers go.
    void setReportHandler(ReportHandler handler);

    const RouterCounters &counters() const;

private:
    struct Pending
    {
        InstanceId holder;
        Callback done;
        TimerId timer = 0;
        SubRequest request;
    };

    bool sendTo(const InstanceId &holder, const SubRequest &request);
    void complete(const SubRequestId &id, const SubReply &reply);
    void deferFailure(const SubRequest &request, Callback done, Errc code, Verdict verdict, std::string message);

    Runtime &runtime_;
    PeerLinks &links_;
    Holder &local_;
    InstanceId self_;
    std::uint64_t incarnation_;
    FindHolders findHolders_;
    ReportHandler reportHandler_;
    std::map<SubRequestId, Pending> pending_;
    std::set<InstanceId> subscribed_;
    RouterCounters counters_;
};

} // namespace Burdock
