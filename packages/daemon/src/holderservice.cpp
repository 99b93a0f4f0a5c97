#include <burdock/daemon/holderservice.h>

#include <utility>

namespace Burdock
{

HolderService::HolderService(PeerLinks &links, Holder &holder, std::function<std::vector<InstanceId>()> peers)
    : links_(links)
    , holder_(holder)
    , peers_(std::move(peers))
{
}

void HolderService::submit(const InstanceId &from, const SubRequest &request)
{
    if (refusing_) {
        SubReply reply;
        reply.id = request.id;
        reply.code = Errc::Draining;
        reply.verdict = Verdict::NotRun;
        reply.message = "the holder is leaving";
        links_.send(from, reply);
        return;
    }
    if (!requestsByPeer_[from].insert(request.id).second) {
        return;
    }
    holder_.submit(request, [this, from](const SubReply &reply) {
        requestsByPeer_[from].erase(reply.id);
        links_.send(from, reply);
    });
}

void HolderService::refuseNewWork()
{
    refusing_ = true;
}

void HolderService::cancel(const InstanceId &from, const SubRequestId &id)
{
    const auto found = requestsByPeer_.find(from);
    if (found != requestsByPeer_.end() && found->second.erase(id) > 0) {
        holder_.cancel(id);
    }
}

void HolderService::subscribe(const InstanceId &peer)
{
    subscribers_.insert(peer);
    for (const ServerReport &report : holder_.reports()) {
        links_.send(peer, report);
    }
}

void HolderService::publish(const ServerReport &report)
{
    const bool wasLeaving = announcedLeaving_.count(report.server) > 0;
    std::set<InstanceId> recipients = subscribers_;
    if (report.draining != wasLeaving) {
        for (const InstanceId &peer : peers_()) {
            recipients.insert(peer);
        }
    }
    if (report.draining) {
        announcedLeaving_.insert(report.server);
    } else {
        announcedLeaving_.erase(report.server);
    }
    for (const InstanceId &peer : recipients) {
        links_.send(peer, report);
    }
}

void HolderService::onPeerLost(const InstanceId &peer)
{
    subscribers_.erase(peer);
    const auto node = requestsByPeer_.extract(peer);
    if (node.empty()) {
        return;
    }
    for (const SubRequestId &id : node.mapped()) {
        holder_.cancel(id);
    }
}

std::size_t HolderService::inFlight() const
{
    std::size_t count = 0;
    for (const auto &[peer, ids] : requestsByPeer_) {
        count += ids.size();
    }
    return count;
}

} // namespace Burdock
