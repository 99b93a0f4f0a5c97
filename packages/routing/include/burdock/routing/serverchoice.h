#pragma once

#include <burdock/routing/hedgethreshold.h>
#include <burdock/routing/latencytracker.h>
#include <burdock/routing/serverload.h>
#include <burdock/routing/servertable.h>

#include <map>
#include <random>

namespace Burdock
{

/// A server for one request, with what its answer is expected to take.
struct ChosenServer
{
    ServerHandle server;
    Duration expected{0};
};

/// Chooses the server of a service whose answer is expected first.
///
/// Answers ordinary load and single slow, paused or failing servers: the expectation is what its answers took, raised while
/// its slots fill, while a request there is overdue, and with the share of its requests that failed. A server of another
/// region is taken when all near ones look worse than the way there. Under more load than all servers bear it spreads evenly
/// and refusals by the servers decide.
class ServerChoice
{
public:
    ServerChoice(
        const ServerTable &table, LatencyTracker &latencies, ServerLoad &load, std::map<DataCentre, Region> regions, Region ownRegion, std::uint64_t seed);

    /// How many instances of this region send requests to the servers, and how many in all; and whether this is one of them.
    void setInstances(std::size_t inRegion, std::size_t all, bool chosen);

    /// A server may get requests from now on, in a new life or again; what was known of its earlier life is forgotten.
    void onListed(const ServerEntry &server, TimePoint now);

    /// A server is gone or leaves.
    void onRemoved(const ServerId &server);

    /// How many connections one server of each service accepts.
    void setConnections(const std::vector<RoutedService> &services);

    /// The best server outside `tried`; null where there is none that may get a request now.
    ChosenServer choose(const Route &route, const ServiceName &service, const std::vector<ServerId> &tried, TimePoint now);

    /// After how long without an answer the server is late.
    Duration hedgeDelay(const Route &route, const ChosenServer &chosen) const;

    /// Another server was not needed, or was: moves the time after which a server is late.
    void onNotHedged(const Route &route);
    void onHedged(const Route &route);

    /// How many connections this instance may hold to one server of the service.
    std::uint32_t connectionShare(const ServiceName &service) const;

    Distance distance(const ServerEntry &server) const;

    /// Takes in how a request fared.
    void onSent(const ServerEntry &server, TimePoint now);
    void onAnswered(const Route &route, const ServerEntry &server, TimePoint sentAt, TimePoint now);

    /// A request was given up without an answer. Where it had waited longer than an answer should take, the server is known to be
    /// at least that slow; otherwise it says nothing.
    void onAbandoned(const Route &route, const ServerEntry &server, TimePoint sentAt, TimePoint now);

private:
    Duration expectedOf(const Route &route, const ServerEntry &server, TimePoint now) const;
    bool overdue(const Route &route, Duration age, Duration expected) const;
    double cost(const Route &route, const ServerEntry &server, Duration expected, TimePoint now);

    const ServerTable &table_;
    LatencyTracker &latencies_;
    ServerLoad &load_;
    const std::map<DataCentre, Region> regions_;
    const Region ownRegion_;
    HedgeThreshold hedgeThreshold_;
    std::mt19937_64 random_;
    std::size_t instancesInRegion_ = 1;
    std::size_t allInstances_ = 1;
    bool selfChosen_ = true;
    std::unordered_map<ServiceName, std::uint32_t> connections_;
};

} // namespace Burdock
