#include <burdock/routing/latencybook.h>

#include <algorithm>
#include <cmath>

namespace Burdock
{

namespace
{

/// The part of a route's target that an answer is taken to need before any was measured.
constexpr double GuessedPartOfTarget = 0.1;
/// The extra time of a region's distance before any was measured.
constexpr double GuessedFarMicroseconds = 30000;
/// The weight of one sample in a server's average and in the average over all servers.
constexpr double ServerWeight = 0.2;
constexpr double UsualWeight = 0.05;
/// The bounds of a sample as multiples of the average that it enters.
constexpr double LeastSample = 0.33;
constexpr double MostSample = 2.0;
/// After this long without a sample a server's estimate has gone most of the way back to the usual one.
constexpr Duration Memory = std::chrono::seconds(3);

double guess(Duration target, Distance distance)
{
    const double near = static_cast<double>(target.count()) * GuessedPartOfTarget;
    return distance == Distance::SameRegion ? near : near + GuessedFarMicroseconds;
}

void enter(double &average, double sample, double weight)
{
    average += weight * (std::clamp(sample, average * LeastSample, average * MostSample) - average);
}

double remembered(double sampled, double usual, Duration age)
{
    const double weight = std::exp(-static_cast<double>(age.count()) / static_cast<double>(Memory.count()));
    return usual + (sampled - usual) * weight;
}

} // namespace

void LatencyBook::answered(const std::string &route, Duration target, const ServerId &server, Distance distance, Duration took, TimePoint now)
{
    RouteTimes &times = routes_[route];
    double &usual = times.usual[static_cast<std::size_t>(distance)];
    if (usual == 0) {
        usual = guess(target, distance);
    }
    const auto sample = static_cast<double>(took.count());
    enter(usual, sample, UsualWeight);
    const auto [place, first] = times.servers.try_emplace(server, Sampled{usual, now});
    Sampled &own = place->second;
    if (!first) {
        own.microseconds = remembered(own.microseconds, usual, now - own.at);
    }
    enter(own.microseconds, sample, ServerWeight);
    own.at = now;
}

Duration LatencyBook::expected(const std::string &route, Duration target, const ServerId &server, Distance distance, TimePoint now) const
{
    const Duration pooled = usual(route, target, distance);
    const auto times = routes_.find(route);
    if (times == routes_.end()) {
        return pooled;
    }
    const auto own = times->second.servers.find(server);
    if (own == times->second.servers.end()) {
        return pooled;
    }
    const double estimate = remembered(own->second.microseconds, static_cast<double>(pooled.count()), now - own->second.at);
    return Duration(static_cast<Duration::rep>(estimate));
}

bool LatencyBook::measured(const std::string &route, const ServerId &server) const
{
    const auto times = routes_.find(route);
    return times != routes_.end() && times->second.servers.count(server) > 0;
}

Duration LatencyBook::usual(const std::string &route, Duration target, Distance distance) const
{
    const auto times = routes_.find(route);
    const double known = times == routes_.end() ? 0 : times->second.usual[static_cast<std::size_t>(distance)];
    return Duration(static_cast<Duration::rep>(known > 0 ? known : guess(target, distance)));
}

void LatencyBook::forget(const ServerId &server)
{
    for (auto &[route, times] : routes_) {
        times.servers.erase(server);
    }
}

} // namespace Burdock
