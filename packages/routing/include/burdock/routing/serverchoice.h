#pragma once

#include <burdock/routing/coldservers.h>
#include <burdock/routing/connectionshares.h>
#include <burdock/routing/costplacing.h>
#include <burdock/routing/emptieddatacentres.h>
#include <burdock/routing/hedgethreshold.h>
#include <burdock/routing/latencytracker.h>
#include <burdock/routing/serverlimits.h>
#include <burdock/routing/serverload.h>
#include <burdock/routing/servernotices.h>
#include <burdock/routing/servertable.h>

#include <map>
#include <random>
#include <string_view>

namespace Burdock
{

/// The server selected for one request, and its expected latency in microseconds.
struct ChosenServer
{
    ServerHandle server;
    Duration expected{0};
};

/// Chooses the server of a service that is expected to answer first.
///
/// Handles ordinary load and single slow, paused or failing servers. The cost of a server is its expected latency, raised as its
/// slots fill up, while a request there is overdue, and with its failure rate. A server of another region is chosen when all
/// servers of this region cost more than the longer network path. When the load exceeds the capacity of all servers, requests
/// are spread evenly and the servers refuse the excess.
///
/// For requests that are placed by cost, see CostPlacing, the expected end takes the place of the expected latency and of the use of
/// the slots.
class ServerChoice
{
public:
    ServerChoice(const ServerTable &table,
                 LatencyTracker &latencies,
                 ServerLoad &load,
                 ServerLimits &limits,
                 ColdServers &cold,
                 const ServerNotices &notices,
                 const EmptiedDataCentres &emptied,
                 std::map<DataCentre, Region> regions,
                 Region ownRegion,
                 std::uint64_t seed);

    /// Sets the number of instances in this region that send requests to servers.
    void setInstances(std::size_t inRegion);

    /// Sets the fraction of each server's connections that this instance may hold; it holds one at least.
    void setConnectionFraction(double fraction);

    double connectionFraction() const
    {
        return connectionFraction_;
    }

    /// Adds a server that is listed, is listed again or has restarted; statistics of an earlier process are dropped.
    void onListed(const ServerEntry &server, TimePoint now);

    /// Takes note of an entry that was read, also of one that changes nothing but how long the server is cold.
    void onEntry(const ServerEntry &server, TimePoint now);

    /// Drops the statistics of a server that was removed or is draining.
    void onRemoved(const ServerId &server, TimePoint now);

    /// Sets the number of connections that one server of each service accepts, and the requests that it takes while it is cold.
    void setServices(const std::vector<RoutedService> &services);

    /// Returns the best server that is not in `tried`; null if no server may get a request now. Servers outside the route's regions
    /// or in emptied data centres are left out, those at the limit that they named or while cold, and those that are leaving or want no requests for
    /// a while.
    /// `cost` is that of the request if it is placed by cost, else null.
    ChosenServer choose(const Route &route, const ServiceName &service, const std::vector<ServerId> &tried, TimePoint now, const RequestCost *cost = nullptr);

    /// Whether servers of the route's services may be left out for a reason that is known before anything is sent: their limits, or
    /// where they stand.
    bool isRestricted(const Route &route) const
    {
        return limits_.any() || cold_.any() || emptied_.any() || !route.regions.empty();
    }

    /// Returns why the places of the service's listed servers forbid all of them to the route's requests; empty if one is allowed.
    std::string_view placeProblem(const Route &route, const ServiceName &service) const;

    /// Records that a request for the service is refused, and returns the time until a server at its limit can take it; zero if
    /// limits are not the cause.
    Duration refuseAtLimits(const Route &route, const ServiceName &service, TimePoint now);

    /// Returns the time until a server of the service wants requests again; zero if one does, or if all of them are leaving.
    Duration pauseLeft(const Route &route, const ServiceName &service, TimePoint now) const;

    /// Returns the time without an answer after which a request is hedged.
    Duration hedgeDelay(const Route &route, const ChosenServer &chosen) const;

    /// Returns the time without an answer after which a request to the server is overdue.
    Duration overdueAfter(const Route &route, const ServerEntry &server, TimePoint now) const;

    /// Adapts the hedge delay after a request without a hedge, or with one.
    void onNotHedged(const Route &route);
    void onHedged(const Route &route);

    /// Returns the number of connections that this instance may hold to one server of the service.
    std::uint32_t connectionShare(const ServiceName &service) const;

    Distance distance(const ServerEntry &server) const;

    CostPlacing &placing()
    {
        return placing_;
    }

    /// Records that a request was sent, possibly as a retry or hedge, or answered.
    void onSent(const Route &route, const ServerEntry &server, TimePoint now, bool repeat = false, const RequestCost *cost = nullptr);
    void onAnswered(const Route &route, const ServerEntry &server, TimePoint sentAt, TimePoint now, const RequestCost *cost = nullptr);

    /// Records that a request was abandoned without an answer. If it was overdue, the wait counts as a failure and as a latency
    /// sample, since the server is at least that slow; otherwise it does not affect the statistics.
    void onAbandoned(const Route &route, const ServerEntry &server, TimePoint sentAt, TimePoint now, const RequestCost *cost = nullptr);

private:
    /// Whether the data centre stands in one of the route's regions.
    bool isServedIn(const Route &route, const DataCentre &dataCentre) const;
    /// Whether the route's requests may be sent to servers of the data centre.
    bool allows(const Route &route, const DataCentre &dataCentre) const;
    Duration expectedOf(const Route &route, const ServerEntry &server, TimePoint now, const RequestCost *cost = nullptr) const;
    Duration overdueAfter(const Route &route, Duration expected) const;
    /// Returns the expected latency, raised as the server's slots fill up, in microseconds.
    double busyLatency(const ServerEntry &server, Duration expected) const;
    /// Returns the age of the oldest request at the server if it is overdue, else zero.
    Duration overdueAge(const Route &route, const ServerEntry &server, Duration expected, TimePoint now, const RequestCost *cost) const;

    const ServerTable &table_;
    LatencyTracker &latencies_;
    ServerLoad &load_;
    ServerLimits &limits_;
    ColdServers &cold_;
    const ServerNotices &notices_;
    const EmptiedDataCentres &emptied_;
    const std::map<DataCentre, Region> regions_;
    const Region ownRegion_;
    HedgeThreshold hedgeThreshold_;
    CostPlacing placing_{load_, latencies_};
    std::mt19937_64 random_;
    std::size_t instancesInRegion_ = 1;
    double connectionFraction_ = ConnectionShares::UsedFraction;
    std::unordered_map<ServiceName, std::uint32_t> connections_;
};

} // namespace Burdock
