#include <burdock/routing/latencytracker.h>

#include <algorithm>
#include <cmath>

namespace Burdock
{

namespace
{

/// The initial latency estimate as a fraction of the route's target time.
constexpr double InitialTargetFraction = 0.1;
/// The initial estimate of the additional latency to another region.
constexpr double InitialFarExtraMicroseconds = 30000;
/// The weight of one sample in a server's average and in the average over all servers.
constexpr double ServerWeight = 0.2;
constexpr double TypicalWeight = 0.05;
/// The bounds of a sample as multiples of the average that it is added to.
constexpr double MinSampleFactor = 0.33;
constexpr double MaxSampleFactor = 2.0;
/// The time constant with which a server's estimate decays to the typical latency in the absence of samples.
constexpr Duration DecayTime = std::chrono::seconds(3);

double initialEstimate(Duration target, Distance distance)
{
    const double near = static_cast<double>(target.count()) * InitialTargetFraction;
    return distance == Distance::SameRegion ? near : near + InitialFarExtraMicroseconds;
}

void addToAverage(double &average, double sample, double weight)
{
    average += weight * (std::clamp(sample, average * MinSampleFactor, average * MaxSampleFactor) - average);
}

double decayed(double estimate, double typical, Duration age)
{
    const double weight = std::exp(-static_cast<double>(age.count()) / static_cast<double>(DecayTime.count()));
    return typical + (estimate - typical) * weight;
}

} // namespace

void LatencyTracker::addSample(const std::string &route, Duration target, const ServerId &server, Distance distance, Duration latency, TimePoint now)
{
    RouteTimes &times = routes_[route];
    double &typical = times.typical[static_cast<std::size_t>(distance)];
    if (typical == 0) {
        typical = initialEstimate(target, distance);
    }
    const auto sample = static_cast<double>(latency.count());
    addToAverage(typical, sample, TypicalWeight);
    const auto [entry, inserted] = times.servers.try_emplace(server, Estimate{typical, now});
    Estimate &own = entry->second;
    if (!inserted) {
        own.microseconds = decayed(own.microseconds, typical, now - own.at);
    }
    addToAverage(own.microseconds, sample, ServerWeight);
    own.at = now;
}

Duration LatencyTracker::expected(const std::string &route, Duration target, const ServerId &server, Distance distance, TimePoint now) const
{
    const Duration pooled = typical(route, target, distance);
    const auto times = routes_.find(route);
    if (times == routes_.end()) {
        return pooled;
    }
    const auto own = times->second.servers.find(server);
    if (own == times->second.servers.end()) {
        return pooled;
    }
    const double estimate = decayed(own->second.microseconds, static_cast<double>(pooled.count()), now - own->second.at);
    return Duration(static_cast<Duration::rep>(estimate));
}

bool LatencyTracker::hasSamples(const std::string &route, const ServerId &server) const
{
    const auto times = routes_.find(route);
    return times != routes_.end() && times->second.servers.count(server) > 0;
}

Duration LatencyTracker::typical(const std::string &route, Duration target, Distance distance) const
{
    const auto times = routes_.find(route);
    const double known = times == routes_.end() ? 0 : times->second.typical[static_cast<std::size_t>(distance)];
    return Duration(static_cast<Duration::rep>(known > 0 ? known : initialEstimate(target, distance)));
}

void LatencyTracker::forget(const ServerId &server)
{
    for (auto &[route, times] : routes_) {
        times.servers.erase(server);
    }
}

} // namespace Burdock
