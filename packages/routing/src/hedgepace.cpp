#include <burdock/routing/hedgepace.h>

#include <algorithm>

namespace Burdock
{

namespace
{

/// The part of requests that is hedged: half of the repeats that the platform allows; retries have the rest.
constexpr double HedgedPart = 0.1;
/// How far one request moves the multiple; its balance is reached within some hundred requests.
constexpr double Step = 0.02;
constexpr double FirstMultiple = 1.6;
/// Earlier than this most hedges would be wasted; later than this they come too late to help.
constexpr double LeastMultiple = 1.2;
constexpr double MostMultiple = 2.4;

} // namespace

double HedgePace::multiple(const std::string &route) const
{
    const auto known = routes_.find(route);
    return known == routes_.end() ? FirstMultiple : known->second;
}

void HedgePace::inTime(const std::string &route)
{
    move(route, -Step * HedgedPart);
}

void HedgePace::late(const std::string &route)
{
    move(route, Step * (1 - HedgedPart));
}

void HedgePace::move(const std::string &route, double step)
{
    double &multiple = routes_.try_emplace(route, FirstMultiple).first->second;
    multiple = std::clamp(multiple + step, LeastMultiple, MostMultiple);
}

} // namespace Burdock
