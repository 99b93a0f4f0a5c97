#pragma once

#include <burdock/routing/routingconfig.h>

#include <array>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace Burdock
{

/// The network distance of a server from this instance.
enum class Distance {
    SameRegion,
    OtherRegion,
};
constexpr std::size_t DistanceCount = 2;

/// Estimates latencies by route, distance and server.
///
/// A server's estimate is a moving average that clamps each sample to at most twice the estimate, so that a single pause does
/// not mark a server as slow but a run of slow answers does. Without new samples it decays to the average of all servers at
/// the same distance, so that a formerly slow server is tried again.
class LatencyTracker
{
public:
    /// Adds the latency of an answer; the initial estimate is derived from `target`, the route's target time.
    void addSample(const std::string &route, Duration target, const ServerId &server, Distance distance, Duration latency, TimePoint now);

    /// Returns the expected latency of the server.
    Duration expected(const std::string &route, Duration target, const ServerId &server, Distance distance, TimePoint now) const;

    /// Whether there are samples of the server on the route.
    bool hasSamples(const std::string &route, const ServerId &server) const;

    /// Returns the average latency over all servers at the distance.
    Duration typical(const std::string &route, Duration target, Distance distance) const;

    /// Drops the samples of a removed server.
    void forget(const ServerId &server);

private:
    struct Estimate
    {
        double microseconds = 0;
        TimePoint at{};
    };

    struct RouteTimes
    {
        std::array<double, DistanceCount> typical{};
        std::unordered_map<ServerId, Estimate> servers;
    };

    std::unordered_map<std::string, RouteTimes> routes_;
};

} // namespace Burdock
