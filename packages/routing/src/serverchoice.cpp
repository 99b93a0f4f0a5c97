#include <burdock/routing/serverchoice.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Burdock
{

namespace
{

/// A request is overdue when it exceeds the expected latency by this multiple of the typical latency in this region. The work of a
/// request varies by a third, so about one answer in a hundred is overdue without a fault.
constexpr double OverdueMultiple = 1.4;
/// An allowance for late timers and for answers that are queued in the event loop.
constexpr Duration TimerSlack = std::chrono::milliseconds(2);
/// The weight of the age of an overdue request in the cost: the next request may take as long again.
constexpr double OverdueWeight = 2.0;
/// The cost of a failure: another attempt, which also uses the repeat budget.
constexpr double FailureCostMicroseconds = 100000;
/// The slot utilization above which requests queue, and the growth of the cost above it.
constexpr double BusyThreshold = 0.7;
constexpr double BusyCostSlope = 2.0;
/// The factor on the expected latency of a server that has just started, until its own latency has been measured.
constexpr double ColdLatencyFactor = 1.5;
/// Breaks ties between servers of equal cost.
constexpr double MaxJitter = 0.05;
/// Keeps the product of a number of connections and a fraction from falling just below a whole number.
constexpr double RoundingMargin = 1e-6;
/// The number of connections per server if the service sets no limit.
constexpr std::uint32_t DefaultConnections = 8;

} // namespace

ServerChoice::ServerChoice(const ServerTable &table,
                           LatencyTracker &latencies,
                           ServerLoad &load,
                           ServerLimits &limits,
                           ColdServers &cold,
                           const ServerNotices &notices,
                           const EmptiedDataCentres &emptied,
                           std::map<DataCentre, Region> regions,
                           Region ownRegion,
                           std::uint64_t seed)
    : table_(table)
    , latencies_(latencies)
    , load_(load)
    , limits_(limits)
    , cold_(cold)
    , notices_(notices)
    , emptied_(emptied)
    , regions_(std::move(regions))
    , ownRegion_(std::move(ownRegion))
    , random_(seed)
{
}

void ServerChoice::setInstances(std::size_t inRegion)
{
    instancesInRegion_ = std::max<std::size_t>(inRegion, 1);
    placing_.setInstances(inRegion);
}

void ServerChoice::setConnectionFraction(double fraction)
{
    connectionFraction_ = fraction;
}

void ServerChoice::onListed(const ServerEntry &server, TimePoint now)
{
    onRemoved(server.id, now);
    limits_.onListed(server);
    onEntry(server, now);
}

void ServerChoice::onEntry(const ServerEntry &server, TimePoint now)
{
    if (server.coldFor > Duration{0}) {
        load_.setColdUntil(server.id, now + server.coldFor);
        cold_.onEntry(server, now);
    }
}

void ServerChoice::onRemoved(const ServerId &server, TimePoint now)
{
    limits_.onRemoved(server, now);
    latencies_.forget(server);
    load_.forget(server);
    placing_.forget(server);
}

void ServerChoice::setServices(const std::vector<RoutedService> &services)
{
    cold_.setServices(services);
    connections_.clear();
    for (const RoutedService &service : services) {
        connections_[service.name] = service.connections;
    }
}

std::uint32_t ServerChoice::connectionShare(const ServiceName &service) const
{
    const auto found = connections_.find(service);
    const std::uint32_t bound = found == connections_.end() || found->second == 0 ? DefaultConnections : found->second;
    return std::max(1U, static_cast<std::uint32_t>(bound * connectionFraction_ + RoundingMargin));
}

Distance ServerChoice::distance(const ServerEntry &server) const
{
    const auto region = regions_.find(server.dataCentre);
    return region != regions_.end() && region->second == ownRegion_ ? Distance::SameRegion : Distance::OtherRegion;
}

Duration ServerChoice::expectedOf(const Route &route, const ServerEntry &server, TimePoint now, const RequestCost *cost) const
{
    const Duration expected = cost != nullptr ? placing_.expectedEnd(route, server, distance(server), cost->estimate.work, now)
                                              : latencies_.expected(route.name, route.target, server.id, distance(server), now);
    const bool cold = load_.coldUntil(server.id) > now && !latencies_.hasSamples(route.name, server.id);
    return cold ? Duration(static_cast<Duration::rep>(static_cast<double>(expected.count()) * ColdLatencyFactor)) : expected;
}

Duration ServerChoice::overdueAfter(const Route &route, Duration expected) const
{
    const auto typical = static_cast<double>(latencies_.typical(route.name, route.target, Distance::SameRegion).count());
    return expected + Duration(static_cast<Duration::rep>(typical * OverdueMultiple));
}

Duration ServerChoice::overdueAfter(const Route &route, const ServerEntry &server, TimePoint now) const
{
    return overdueAfter(route, expectedOf(route, server, now));
}

double ServerChoice::busyLatency(const ServerEntry &server, Duration expected) const
{
    const double sharers = distance(server) == Distance::SameRegion ? static_cast<double>(instancesInRegion_) : 1;
    const double use = load_.inFlight(server.id) * sharers / std::max(1U, server.slots);
    return static_cast<double>(expected.count()) * (1 + std::max(0.0, use - BusyThreshold) * BusyCostSlope);
}

Duration ServerChoice::overdueAge(const Route &route, const ServerEntry &server, Duration expected, TimePoint now, const RequestCost *cost) const
{
    if (cost != nullptr) {
        return placing_.overdue(server, now);
    }
    const Duration oldest = load_.oldest(server.id, now);
    return oldest > overdueAfter(route, expected) ? oldest : Duration{0};
}

ChosenServer ServerChoice::choose(const Route &route, const ServiceName &service, const std::vector<ServerId> &tried, TimePoint now, const RequestCost *cost)
{
    ChosenServer best;
    double least = 0;
    const std::uint32_t share = connectionShare(service);
    for (const ServerHandle &server : table_.servers(service)) {
        const bool wasTried = std::find(tried.begin(), tried.end(), server->id) != tried.end();
        if (wasTried || !allows(route, server->dataCentre) || !notices_.accepts(*server, now) || load_.backoffUntil(server->id) > now
            || load_.inFlight(server->id) >= share || !limits_.allows(server->id, route.priority, !tried.empty(), now)
            || !cold_.allows(server->id, route.priority, !tried.empty(), now)) {
            continue;
        }
        const Duration expected = expectedOf(route, *server, now, cost);
        const double latency = cost != nullptr ? static_cast<double>(expected.count()) : busyLatency(*server, expected);
        const double jitter = 1 + MaxJitter * std::uniform_real_distribution<double>()(random_);
        const double overdue = static_cast<double>(overdueAge(route, *server, expected, now, cost).count()) * OverdueWeight;
        const double total = (latency + overdue + load_.failureRate(server->id, now) * FailureCostMicroseconds) * jitter;
        if (!best.server || total < least) {
            best.server = server;
            best.expected = expected;
            least = total;
        }
    }
    return best;
}

bool ServerChoice::isServedIn(const Route &route, const DataCentre &dataCentre) const
{
    if (route.regions.empty()) {
        return true;
    }
    const auto region = regions_.find(dataCentre);
    return region != regions_.end() && route.isServedIn(region->second);
}

bool ServerChoice::allows(const Route &route, const DataCentre &dataCentre) const
{
    return !emptied_.contains(dataCentre) && isServedIn(route, dataCentre);
}

std::string_view ServerChoice::placeProblem(const Route &route, const ServiceName &service) const
{
    const std::vector<ServerHandle> &servers = table_.servers(service);
    if (std::any_of(servers.begin(), servers.end(), [this, &route](const ServerHandle &server) { return allows(route, server->dataCentre); })) {
        return {};
    }
    const bool inRegion =
        std::any_of(servers.begin(), servers.end(), [this, &route](const ServerHandle &server) { return isServedIn(route, server->dataCentre); });
    return inRegion ? "all servers of the service where the request may be served stand in emptied data centres"
                    : "no server of the service is listed in a region in which the request may be served";
}

Duration ServerChoice::refuseAtLimits(const Route &route, const ServiceName &service, TimePoint now)
{
    std::vector<ServerHandle> allowed;
    const std::vector<ServerHandle> &servers = table_.servers(service);
    std::copy_if(
        servers.begin(), servers.end(), std::back_inserter(allowed), [this, &route](const ServerHandle &server) { return allows(route, server->dataCentre); });
    const Duration wait = limits_.refuse(allowed, route.priority, now);
    return wait > Duration{0} ? wait : cold_.refuse(allowed, route.priority, now);
}

Duration ServerChoice::pauseLeft(const Route &route, const ServiceName &service, TimePoint now) const
{
    TimePoint earliest = TimePoint::max();
    for (const ServerHandle &server : table_.servers(service)) {
        if (allows(route, server->dataCentre)) {
            earliest = std::min(earliest, notices_.acceptsFrom(*server));
        }
    }
    return earliest == TimePoint::max() ? Duration{0} : std::max(earliest - now, Duration{0});
}

Duration ServerChoice::hedgeDelay(const Route &route, const ChosenServer &chosen) const
{
    const Duration typical = latencies_.typical(route.name, route.target, Distance::SameRegion);
    const double extraDelay = static_cast<double>(typical.count()) * (hedgeThreshold_.multiple(route.name) - 1);
    return chosen.expected + Duration(static_cast<Duration::rep>(extraDelay)) + TimerSlack;
}

void ServerChoice::onNotHedged(const Route &route)
{
    hedgeThreshold_.onNotHedged(route.name);
}

void ServerChoice::onHedged(const Route &route)
{
    hedgeThreshold_.onHedged(route.name);
}

void ServerChoice::onSent(const Route &route, const ServerEntry &server, TimePoint now, bool repeat, const RequestCost *cost)
{
    limits_.onSent(server.id, route.priority, repeat, now);
    cold_.onSent(server.id, route.priority, repeat, now);
    load_.onSent(server.id, cost != nullptr ? placing_.open(server, cost->estimate.work, now) : OpenRequest{now});
}

void ServerChoice::onAbandoned(const Route &route, const ServerEntry &server, TimePoint sentAt, TimePoint now, const RequestCost *cost)
{
    const Duration waited = now - sentAt;
    if (cost != nullptr) {
        placing_.onAbandoned(route, server, distance(server), load_.find(server.id, sentAt), now);
    }
    if (waited <= overdueAfter(route, server, now)) {
        load_.onAbandoned(server.id, sentAt);
        return;
    }
    load_.onFailed(server.id, sentAt, now);
    latencies_.addSample(route.name, route.target, server.id, distance(server), waited, now);
}

void ServerChoice::onAnswered(const Route &route, const ServerEntry &server, TimePoint sentAt, TimePoint now, const RequestCost *cost)
{
    if (cost != nullptr) {
        placing_.onAnswered(route, server, distance(server), *cost, load_.find(server.id, sentAt), now);
    }
    load_.onAnswered(server.id, sentAt, now);
    latencies_.addSample(route.name, route.target, server.id, distance(server), now - sentAt, now);
}

} // namespace Burdock
