#include <burdock/routing/hedgethreshold.h>

#include <algorithm>

namespace Burdock
{

namespace
{

/// The share of requests that is hedged: half of the repeats that the platform allows; the rest is for retries.
constexpr double HedgedFraction = 0.1;
/// The adjustment step per request; the multiple settles within a few hundred requests.
constexpr double Step = 0.02;
constexpr double InitialMultiple = 1.6;
/// Below the minimum most hedges would be wasted; above the maximum they are too late to help.
constexpr double MinMultiple = 1.2;
constexpr double MaxMultiple = 2.4;

} // namespace

double HedgeThreshold::multiple(const std::string &route) const
{
    const auto known = multiples_.find(route);
    return known == multiples_.end() ? InitialMultiple : known->second;
}

void HedgeThreshold::onNotHedged(const std::string &route)
{
    adjust(route, -Step * HedgedFraction);
}

void HedgeThreshold::onHedged(const std::string &route)
{
    adjust(route, Step * (1 - HedgedFraction));
}

void HedgeThreshold::adjust(const std::string &route, double step)
{
    double &multiple = multiples_.try_emplace(route, InitialMultiple).first->second;
    multiple = std::clamp(multiple + step, MinMultiple, MaxMultiple);
}

} // namespace Burdock
