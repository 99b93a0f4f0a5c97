#include "holderserver.h"

#include <algorithm>

namespace Burdock
{

namespace
{

/// How long a server's word that it is leaving holds, where the instance list does not say so.
constexpr Duration DrainingMemory = std::chrono::seconds(60);

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
    queue_.setFloors(fleet.rankFloors);
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
        toldDrainingUntil_ = {};
    }
    listedDraining_ = draining;
}

bool HolderServer::draining(TimePoint now) const
{
    return listedDraining_ || now < toldDrainingUntil_;
}

bool HolderServer::canMeet(const QueuedRequest &request) const
{
    const bool startsAtOnce = queue_.waiting() == 0 && queue_.running() < limit_.current();
    if (startsAtOnce) {
        return true;
    }
    const Duration wait = queue_.estimatedWait(request.rank, request.caller, request.share, limit_.current());
    return wait + queue_.serviceTime(request.rank) <= request.deadline - request.arrived;
}

void HolderServer::learn(const BackendReply &reply, Rank rank, TimePoint started, TimePoint now)
{
    const bool limited = queue_.running() >= limit_.current();
    if (reply.shed) {
        limit_.shed(started, now);
    } else if (reply.reply.code == Errc::Ok) {
        queue_.learnService(rank, now - started);
        limit_.answered(started, limited);
    }
    if (reply.draining) {
        toldDrainingUntil_ = now + DrainingMemory;
    }
    for (const auto &[index, window] : reply.versions) {
        versions_[index] = window;
    }
}

void HolderServer::learnOverrun(Rank rank, Duration took)
{
    queue_.learnService(rank, took);
}

ServerReport HolderServer::report(TimePoint now) const
{
    ServerReport report;
    report.server = id_;
    report.draining = draining(now);
    for (const Rank rank : AllRanks) {
        report.queueDelay[rankIndex(rank)] = queue_.queueDelay(rank, limit_.current());
    }
    report.versions.assign(versions_.begin(), versions_.end());
    return report;
}

} // namespace Burdock
