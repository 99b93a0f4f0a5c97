#pragma once

#include <burdock/routing/costestimate.h>
#include <burdock/routing/latencytracker.h>
#include <burdock/routing/servertable.h>
#include <burdock/routing/serverwork.h>

#include <optional>
#include <unordered_set>

namespace Burdock
{

/// The cost of one request, as it was estimated when the request was placed.
struct RequestCost
{
    CostKey key;
    CostEstimate estimate;

    auto fields() const
    {
        return std::tie(key, estimate);
    }
};

/// Places requests by what they are likely to cost and by what each server still has to do.
///
/// The expected end of a request at a server is the wait for what is left there, and the request's own work at the server's pace, and
/// the way there. The strategy is off unless the configuration or the servers call for it, see `isOn`.
class CostPlacing
{
public:
    CostPlacing(const ServerLoad &load, const LatencyTracker &latencies);

    /// Sets the configuration, which decides with what servers tell whether requests are placed by cost.
    void setConfig(const RoutingConfig &config);

    /// Whether requests to the service are placed by cost: those of several workspaces share its servers, or these tell their load.
    /// This is the only place that decides so.
    bool isOn(const ServiceName &service) const;

    /// Returns the expected cost of a request, or nothing if the service's requests are not placed by cost.
    std::optional<RequestCost> costOf(const Route &route, const ServiceName &service, std::size_t bodyBytes, const std::string &workspace, TimePoint now) const;

    /// Sets the number of instances that send requests to the servers of this region.
    void setInstances(std::size_t count);

    /// Returns the time from now until the request is expected to be answered by the server.
    Duration expectedEnd(const Route &route, const ServerEntry &server, Distance distance, Duration work, TimePoint now) const;

    /// Returns what is expected of a request of this work that is sent to the server now.
    OpenRequest open(const ServerEntry &server, Duration work, TimePoint now) const;

    /// Returns the age of the oldest request of this instance at the server that is overdue for its cost; zero if none is.
    Duration overdue(const ServerEntry &server, TimePoint now) const;

    /// Records what a server told of its load.
    void onTold(const ServerEntry &server, const ToldLoad &load, TimePoint now);

    /// Learns the request's cost and the server's pace from an answer to a request that did not have to wait there.
    void onAnswered(const Route &route, const ServerEntry &server, Distance distance, const RequestCost &cost, const OpenRequest &request, TimePoint now);

    /// Learns from a request that was abandoned without an answer: a server that should have answered by now is at least that slow.
    void onAbandoned(const Route &route, const ServerEntry &server, Distance distance, const OpenRequest &request, TimePoint now);

    /// Drops the state of a server that was removed or has restarted.
    void forget(const ServerId &server);

    const CostEstimates &estimates() const
    {
        return estimates_;
    }

    const ServerWork &work() const
    {
        return work_;
    }

private:
    /// Returns the additional network latency to a server at the distance.
    Duration farExtra(const Route &route, Distance distance) const;

    const ServerLoad &load_;
    const LatencyTracker &latencies_;
    CostEstimates estimates_;
    ServerWork work_;
    bool hasWorkspaces_ = false;
    std::unordered_set<ServiceName> tellingServices_;
    std::size_t instances_ = 1;
};

} // namespace Burdock
