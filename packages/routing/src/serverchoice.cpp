#include <burdock/routing/serverchoice.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// A request is overdue once this multiple of the usual time near by has passed beyond the expectation. The work of one request
/// spreads by a third, so about one answer in a hundred is later than that without cause.
constexpr double OverdueMultiple = 1.4;
/// Timers fire late and answers wait their turn in the loop.
constexpr Duration LateSlack = std::chrono::milliseconds(2);
/// The weight of an overdue request in the expectation of the next one: it may take as long again.
constexpr double OverdueWeight = 2.0;
/// What a failure costs: an attempt elsewhere, and its part of the repeat budget.
constexpr double FailureCostMicroseconds = 100000;
/// The use of a server's slots from which requests wait, and how fast the wait grows beyond.
constexpr double BusyFrom = 0.7;
constexpr double BusyGrowth = 2.0;
/// How much longer the first answer of a server that has just started is taken to need; its own answers tell more.
constexpr double ColdFactor = 1.5;
/// Breaks ties between servers that look alike.
constexpr double MostJitter = 0.05;
/// The part of a server's connections that the instances with clients use; the rest covers instances that come and go, and those
/// that clients are not sent to but may still know.
constexpr double UsedConnections = 0.8;
/// Where a service names no bound.
constexpr std::uint32_t DefaultConnections = 8;

} // namespace

ServerChoice::ServerChoice(
    const ServerTable &table, LatencyBook &latencies, ServerLoad &load, std::map<DataCentre, Region> regions, Region own, std::uint64_t seed)
    : table_(table)
    , latencies_(latencies)
    , load_(load)
    , regions_(std::move(regions))
    , own_(std::move(own))
    , random_(seed)
{
}

void ServerChoice::setInstances(std::size_t inRegion, std::size_t all, bool chosen)
{
    chosen_ = chosen;
    inRegion_ = std::max<std::size_t>(inRegion, 1);
    all_ = std::max<std::size_t>(all, 1);
}

void ServerChoice::listed(const ServerEntry &server, TimePoint now)
{
    left(server.id);
    if (server.coldFor > Duration{0}) {
        load_.warmsUp(server.id, now + server.coldFor);
    }
}

void ServerChoice::left(const ServerId &server)
{
    latencies_.forget(server);
    load_.forget(server);
}

void ServerChoice::setConnections(const std::vector<RoutedService> &services)
{
    connections_.clear();
    for (const RoutedService &service : services) {
        connections_[service.name] = service.connections;
    }
}

std::uint32_t ServerChoice::connectionShare(const ServiceName &service) const
{
    if (!chosen_) {
        return 1;
    }
    const auto known = connections_.find(service);
    const std::uint32_t bound = known == connections_.end() || known->second == 0 ? DefaultConnections : known->second;
    return std::max(1U, static_cast<std::uint32_t>(bound * UsedConnections / static_cast<double>(all_)));
}

Distance ServerChoice::distance(const ServerEntry &server) const
{
    const auto region = regions_.find(server.dataCentre);
    return region != regions_.end() && region->second == own_ ? Distance::SameRegion : Distance::OtherRegion;
}

Duration ServerChoice::expectedOf(const Route &route, const ServerEntry &server, TimePoint now) const
{
    const Duration expected = latencies_.expected(route.name, route.target, server.id, distance(server), now);
    const bool cold = load_.coldUntil(server.id) > now && !latencies_.measured(route.name, server.id);
    return cold ? Duration(static_cast<Duration::rep>(static_cast<double>(expected.count()) * ColdFactor)) : expected;
}

bool ServerChoice::overdue(const Route &route, Duration age, Duration expected) const
{
    const auto usual = static_cast<double>(latencies_.usual(route.name, route.target, Distance::SameRegion).count());
    return static_cast<double>(age.count()) > static_cast<double>(expected.count()) + usual * OverdueMultiple;
}

double ServerChoice::cost(const Route &route, const ServerEntry &server, Duration expected, TimePoint now)
{
    auto cost = static_cast<double>(expected.count());
    const double sharers = distance(server) == Distance::SameRegion ? static_cast<double>(inRegion_) : 1;
    const double use = load_.underWay(server.id) * sharers / std::max(1U, server.slots);
    cost *= 1 + std::max(0.0, use - BusyFrom) * BusyGrowth;
    const Duration oldest = load_.oldest(server.id, now);
    if (overdue(route, oldest, expected)) {
        cost += static_cast<double>(oldest.count()) * OverdueWeight;
    }
    cost += load_.failing(server.id, now) * FailureCostMicroseconds;
    return cost * (1 + MostJitter * std::uniform_real_distribution<double>()(random_));
}

ChosenServer ServerChoice::choose(const Route &route, const ServiceName &service, const std::vector<ServerId> &tried, TimePoint now)
{
    ChosenServer best;
    double least = 0;
    const std::uint32_t share = connectionShare(service);
    for (const ServerHandle &server : table_.servers(service)) {
        const bool wasTried = std::find(tried.begin(), tried.end(), server->id) != tried.end();
        if (wasTried || load_.restsUntil(server->id) > now || load_.underWay(server->id) >= share) {
            continue;
        }
        const Duration expected = expectedOf(route, *server, now);
        const double cost = this->cost(route, *server, expected, now);
        if (!best.server || cost < least) {
            best.server = server;
            best.expected = expected;
            least = cost;
        }
    }
    return best;
}

Duration ServerChoice::lateAfter(const Route &route, const ChosenServer &chosen) const
{
    const Duration usual = latencies_.usual(route.name, route.target, Distance::SameRegion);
    const double beyond = static_cast<double>(usual.count()) * (pace_.multiple(route.name) - 1);
    return chosen.expected + Duration(static_cast<Duration::rep>(beyond)) + LateSlack;
}

void ServerChoice::inTime(const Route &route)
{
    pace_.inTime(route.name);
}

void ServerChoice::late(const Route &route)
{
    pace_.late(route.name);
}

void ServerChoice::sent(const ServerEntry &server, TimePoint now)
{
    load_.sent(server.id, now);
}

void ServerChoice::givenUp(const Route &route, const ServerEntry &server, TimePoint sentAt, TimePoint now)
{
    const Duration waited = now - sentAt;
    if (!overdue(route, waited, expectedOf(route, server, now))) {
        load_.givenUp(server.id, sentAt);
        return;
    }
    load_.failed(server.id, sentAt, now);
    latencies_.answered(route.name, route.target, server.id, distance(server), waited, now);
}

void ServerChoice::answered(const Route &route, const ServerEntry &server, TimePoint sentAt, TimePoint now)
{
    load_.answered(server.id, sentAt, now);
    latencies_.answered(route.name, route.target, server.id, distance(server), now - sentAt, now);
}

} // namespace Burdock
