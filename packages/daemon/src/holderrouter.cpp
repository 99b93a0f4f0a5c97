#include <burdock/daemon/holderrouter.h>

#include <utility>

namespace Burdock
{

namespace
{
/// A holder replies by the deadline itself, if only with a refusal. If its reply is this much later, the sub-request times out.
constexpr Duration HolderReplyGrace = std::chrono::milliseconds(50);
} // namespace

HolderRouter::HolderRouter(Runtime &runtime, PeerLinks &links, Holder &local, InstanceId self, std::uint64_t incarnation, FindHolders find)
    : runtime_(runtime)
    , links_(links)
    , local_(local)
    , self_(std::move(self))
    , incarnation_(incarnation)
    , findHolders_(std::move(find))
{
}

void HolderRouter::send(const SubRequest &request, Callback done)
{
    for (const InstanceId &holder : findHolders_(request.server)) {
        const TimerId timer = runtime_.schedule(request.budget + HolderReplyGrace, [this, id = request.id] {
            ++counters_.holderTimeouts;
            SubReply timedOut;
            timedOut.id = id;
            timedOut.code = Errc::DeadlineExceeded;
            timedOut.verdict = Verdict::MayHaveRun;
            timedOut.message = "the holder said nothing until the deadline";
            complete(id, timedOut);
        });
        pending_[request.id] = Pending{holder, done, timer, request};
        if (sendTo(holder, request)) {
            return;
        }
        runtime_.cancel(timer);
        pending_.erase(request.id);
    }
    ++counters_.noHolder;
    deferFailure(request, std::move(done), Errc::Unavailable, Verdict::NotRun, "no instance can reach server '" + request.server.text() + "'");
}

bool HolderRouter::sendTo(const InstanceId &holder, const SubRequest &request)
{
    if (holder == self_) {
        ++counters_.sentLocal;
        local_.submit(request, [this, id = request.id](const SubReply &reply) { complete(id, reply); });
        return true;
    }
    if (subscribed_.insert(holder).second) {
        links_.send(holder, SubscribeReports{incarnation_});
    }
    if (!links_.send(holder, request)) {
        subscribed_.erase(holder);
        return false;
    }
    ++counters_.sentRemote;
    return true;
}

void HolderRouter::cancel(const SubRequestId &id)
{
    const auto node = pending_.extract(id);
    if (node.empty()) {
        return;
    }
    runtime_.cancel(node.mapped().timer);
    if (node.mapped().holder == self_) {
        local_.cancel(id);
    } else {
        links_.send(node.mapped().holder, CancelSubRequest{id});
    }
}

void HolderRouter::onReply(const SubReply &reply)
{
    complete(reply.id, reply);
}

void HolderRouter::onPeerReport(const ServerReport &report)
{
    if (reportHandler_) {
        reportHandler_(report);
    }
}

void HolderRouter::complete(const SubRequestId &id, const SubReply &reply)
{
    const auto node = pending_.extract(id);
    if (node.empty()) {
        ++counters_.unmatchedReplies;
        return;
    }
    runtime_.cancel(node.mapped().timer);
    node.mapped().done(reply);
}

void HolderRouter::onPeerLost(const InstanceId &peer)
{
    ++counters_.lostLinks;
    subscribed_.erase(peer);
    std::vector<SubRequestId> lost;
    for (const auto &[id, pending] : pending_) {
        if (pending.holder == peer) {
            lost.push_back(id);
        }
    }
    for (const SubRequestId &id : lost) {
        SubReply reply;
        reply.id = id;
        reply.code = Errc::ConnectionLost;
        reply.verdict = Verdict::MayHaveRun;
        reply.message = "the link to the holder was lost";
        complete(id, reply);
    }
}

void HolderRouter::setReportHandler(ReportHandler handler)
{
    reportHandler_ = std::move(handler);
}

const RouterCounters &HolderRouter::counters() const
{
    return counters_;
}

void HolderRouter::deferFailure(const SubRequest &request, Callback done, Errc code, Verdict verdict, std::string message)
{
    SubReply reply;
    reply.id = request.id;
    reply.code = code;
    reply.verdict = verdict;
    reply.message = std::move(message);
    const TimerId timer = runtime_.schedule(Duration{0}, [this, id = request.id, reply] { complete(id, reply); });
    pending_[request.id] = Pending{self_, std::move(done), timer, request};
}

} // namespace Burdock
