#pragma once

#include <string>
#include <unordered_map>

namespace Burdock
{

/// How late an answer has to be before another server is asked too, as a multiple of what is usual.
///
/// Answers stragglers, which decide the latency of a request to many shards: hedges go out as early as the repeat budget bears.
/// The multiple follows the share of requests that were hedged, so that a fixed part of all requests is: few when answers are
/// even, and not many more when all servers are slow together, when more requests would only make it worse.
class HedgeThreshold
{
public:
    /// The multiple for a route; at least 1.
    double multiple(const std::string &route) const;

    /// A request was answered before it was late, or became late.
    void onNotHedged(const std::string &route);
    void onHedged(const std::string &route);

private:
    void adjust(const std::string &route, double step);

    std::unordered_map<std::string, double> multiples_;
};

} // namespace Burdock
