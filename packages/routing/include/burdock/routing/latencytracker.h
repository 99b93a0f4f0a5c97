#pragma once

#include <burdock/routing/routingconfig.h>

#include <array>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace Burdock
{

/// How far a server stands from this instance.
enum class Distance {
    SameRegion,
    OtherRegion,
};
constexpr std::size_t DistanceCount = 2;

/// What answers take, by route, distance and server.
///
/// A server's estimate is a moving average in which one sample counts for at most twice the estimate, so that a single
/// pause does not mark a server as slow while a run of slow answers does. Without fresh samples it returns to what all
/// servers at its distance take, so that a server that was slow is tried again.
class LatencyTracker
{
public:
    /// Counts an answer; `target` is the route's, from which a first guess is made.
    void addSample(const std::string &route, Duration target, const ServerId &server, Distance distance, Duration latency, TimePoint now);

    /// What an answer of the server is expected to take.
    Duration expected(const std::string &route, Duration target, const ServerId &server, Distance distance, TimePoint now) const;

    /// Whether an answer of the server on the route was measured.
    bool hasSamples(const std::string &route, const ServerId &server) const;

    /// What an answer of any server at the distance is expected to take.
    Duration typical(const std::string &route, Duration target, Distance distance) const;

    /// Forgets a server that is gone.
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
