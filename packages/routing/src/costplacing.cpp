#include <burdock/routing/costplacing.h>

#include <algorithm>

namespace Burdock
{

namespace
{

/// An answer tells nothing of the work if the request had to wait for longer than the work divided by this.
constexpr int MaxWaitDivisor = 4;

std::uint8_t binaryDigits(std::size_t number)
{
    std::uint8_t digits = 0;
    for (; number > 0; number /= 2) {
        ++digits;
    }
    return digits;
}

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace

CostPlacing::CostPlacing(const ServerLoad &load, const LatencyTracker &latencies)
    : load_(load)
    , latencies_(latencies)
{
}

void CostPlacing::setConfig(const RoutingConfig &config)
{
    hasWorkspaces_ = config.workspaces.size() > 1;
}

bool CostPlacing::isOn(const ServiceName &service) const
{
    return hasWorkspaces_ || tellingServices_.count(service) > 0;
}

std::optional<RequestCost>
CostPlacing::costOf(const Route &route, const ServiceName &service, std::size_t bodyBytes, const std::string &workspace, TimePoint now) const
{
    if (!isOn(service)) {
        return std::nullopt;
    }
    RequestCost cost;
    cost.key = {route.name, route.shards.empty() ? service : ServiceName(), workspace, binaryDigits(bodyBytes), binaryDigits(route.resultLimit)};
    cost.estimate = estimates_.estimate(cost.key, route.target, now);
    return cost;
}

void CostPlacing::setInstances(std::size_t count)
{
    instances_ = std::max<std::size_t>(count, 1);
}

Duration CostPlacing::farExtra(const Route &route, Distance distance) const
{
    if (distance == Distance::SameRegion) {
        return Duration{0};
    }
    const Duration near = latencies_.typical(route.name, route.target, Distance::SameRegion);
    return std::max(latencies_.typical(route.name, route.target, distance) - near, Duration{0});
}

Duration CostPlacing::expectedEnd(const Route &route, const ServerEntry &server, Distance distance, Duration work, TimePoint now) const
{
    const Duration wait = open(server, work, now).wait;
    return farExtra(route, distance) + wait + scaled(work, work_.pace(server.id, now));
}

OpenRequest CostPlacing::open(const ServerEntry &server, Duration work, TimePoint now) const
{
    return {now, work, work_.wait(server.id, server.slots, load_.open(server.id), instances_, now)};
}

Duration CostPlacing::overdue(const ServerEntry &server, TimePoint now) const
{
    // What was sent before the instance was found to be cut off says nothing of the server.
    return std::min(work_.overdue(server.id, load_.open(server.id), now), load_.oldest(server.id, now));
}

void CostPlacing::onTold(const ServerEntry &server, const ToldLoad &load, TimePoint now)
{
    tellingServices_.insert(server.service);
    // The request with whose response this comes is still in flight here, and has ended there.
    work_.onTold(server.id, load, std::max(load_.inFlight(server.id), 1U) - 1, now);
}

void CostPlacing::onAnswered(
    const Route &route, const ServerEntry &server, Distance distance, const RequestCost &cost, const OpenRequest &request, TimePoint now)
{
    if (request.wait > request.work / MaxWaitDivisor) {
        return;
    }
    const Duration took = std::max(now - request.sentAt - farExtra(route, distance), Duration{1});
    if (distance == Distance::SameRegion) {
        estimates_.addSample(cost.key, route.target, scaled(took, 1 / work_.pace(server.id, now)), now);
    }
    work_.onAnswered(server.id, took, request.work, now);
}

void CostPlacing::onAbandoned(const Route &route, const ServerEntry &server, Distance distance, const OpenRequest &request, TimePoint now)
{
    const Duration took = now - request.sentAt - request.wait - farExtra(route, distance);
    if (took > scaled(request.work, work_.pace(server.id, now))) {
        work_.onAnswered(server.id, took, request.work, now);
    }
}

void CostPlacing::forget(const ServerId &server)
{
    work_.forget(server);
}

} // namespace Burdock
