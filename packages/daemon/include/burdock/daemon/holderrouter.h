#pragma once

#include <burdock/policy/holder.h>
#include <burdock/policy/subrequestport.h>
#include <burdock/wire/peerlinks.h>

#include <functional>
#include <map>
#include <set>

namespace Burdock
{

/// Counters of a HolderRouter since process start.
struct RouterCounters
{
    std::uint64_t sentLocal = 0;
    std::uint64_t sentRemote = 0;
    std::uint64_t noHolder = 0;
    std::uint64_t lostLinks = 0;
    /// Replies that match no pending sub-request: late, duplicated, or for an earlier incarnation.
    std::uint64_t unmatchedReplies = 0;
    /// Sub-requests whose holder sent no reply until the deadline.
    std::uint64_t holderTimeouts = 0;
};

/// Routes the entry's sub-requests to the holder of their server, on this instance or on a peer.
///
/// Replies are matched by the whole id: entry, incarnation and number. A sub-request that was sent to a peer whose link is then
/// lost fails with MayHaveRun.
class HolderRouter final : public SubRequestPort
{
public:
    /// Returns the holders of a server in order of preference, or none if the server is not listed.
    using FindHolders = std::function<std::vector<InstanceId>(const ServerId &server)>;
    using ReportHandler = std::function<void(const ServerReport &)>;

    HolderRouter(Runtime &runtime, PeerLinks &links, Holder &local, InstanceId self, std::uint64_t incarnation, FindHolders find);

    void send(const SubRequest &request, Callback done) override;
    void cancel(const SubRequestId &id) override;

    /// Handlers of replies and reports from peers.
    void onReply(const SubReply &reply);
    void onPeerReport(const ServerReport &report);

    /// Fails all sub-requests to a peer whose link was lost with ConnectionLost and MayHaveRun.
    void onPeerLost(const InstanceId &peer);

    /// Sets the handler of reports about servers that peers hold.
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
