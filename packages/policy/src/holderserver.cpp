#include "holderserver.h"

#include <algorithm>

namespace Burdock
{

namespace
{

/// How long a draining reply of the server stays in effect if the instance list does not confirm it.
constexpr Duration DrainingHold = std::chrono::seconds(60);

std::uint32_t usableSlots(const FleetDeclaration &fleet)
{
    return std::max<std::uint32_t>(std::min(fleet.slots, fleet.connections), 1);
}

} // namespace

HolderServer::HolderServer(ServerId id, const FleetDeclaration &fleet)
    : id_(std::move(id))
    , fleet_(fleet.name)
    , queue_(fleet.rankFloors)
    , limit_(usableSlots(fleet))
{
}

void HolderServer::configure(const FleetDeclaration &fleet)
{
    queue_.setReservedFractions(fleet.rankFloors);
    limit_.setDeclared(usableSlots(fleet));
}

RankQueue &HolderServer::queue()
{
    return queue_;
}

const RankQueue &HolderServer::queue() const
{
    return queue_;
}

std::uint32_t HolderServer::slots() const
{
    return limit_.current();
}

const FleetName &HolderServer::fleet() const
{
    return fleet_;
}

void HolderServer::setListedDraining(bool draining)
{
    if (listedDraining_ && !draining) {
        ownDrainingUntil_ = {};
    }
    listedDraining_ = draining;
}

bool HolderServer::draining(TimePoint now) const
{
    return listedDraining_ || now < ownDrainingUntil_;
}

bool HolderServer::canMeetDeadline(const QueuedRequest &request) const
{
    const bool startsAtOnce = queue_.waiting() == 0 && queue_.running() < limit_.current();
    if (startsAtOnce) {
        return true;
    }
    const Duration wait = queue_.estimatedWait(request.rank, request.caller, request.weight, limit_.current());
    return wait + queue_.serviceTime(request.rank) <= request.deadline - request.arrived;
}

void HolderServer::recordReply(const BackendReply &reply, Rank rank, TimePoint started, TimePoint now)
{
    if (reply.reply.code == Errc::Ok) {
        const bool limited = queue_.running() >= limit_.current();
        queue_.recordServiceTime(rank, now - started);
        limit_.onAnswered(started, now - started, limited, now);
        ejection_.recordSuccess();
    } else {
        recordFailedReply(reply, started, now);
    }
    if (reply.draining) {
        ownDrainingUntil_ = now + DrainingHold;
    }
    for (const auto &[index, window] : reply.versions) {
        versions_[index] = window;
    }
}

/// Failed replies do not update the service time, since a server that fails quickly must not look fast. If a server
/// is unreachable while it runs other requests, others use up its connections, so this counts as a shed.
void HolderServer::recordFailedReply(const BackendReply &reply, TimePoint started, TimePoint now)
{
    const Errc code = reply.reply.code;
    const bool unreachable = code == Errc::Unavailable && reply.reply.verdict == Verdict::NotRun;
    if (reply.shed || (unreachable && queue_.running() > 1)) {
        limit_.onShed(started, now);
    } else if (code == Errc::Unavailable || code == Errc::ConnectionLost || code == Errc::Internal) {
        ejection_.recordFailure(now);
    }
}

void HolderServer::recordTimeout(Rank rank, Duration took)
{
    queue_.recordServiceTime(rank, took);
}

ServerReport HolderServer::report(TimePoint now) const
{
    ServerReport report;
    report.server = id_;
    report.draining = draining(now);
    report.ejected = ejection_.isEjected(now);
    for (const Rank rank : AllRanks) {
        report.queueDelay[rankIndex(rank)] = queue_.queueDelay(rank, limit_.current());
    }
    report.versions.assign(versions_.begin(), versions_.end());
    return report;
}

} // namespace Burdock
