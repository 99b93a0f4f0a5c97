#pragma once

#include <string>
#include <unordered_map>

namespace Burdock
{

/// The latency, as a multiple of the typical latency, after which a request is hedged.
///
/// Stragglers dominate the latency of a request to many shards, so hedges are sent as early as the repeat budget allows. The
/// multiple adapts to the observed share of hedged requests and keeps that share constant: few hedges when latencies are even,
/// and not many more when all servers are slow at once, when extra requests would only add load.
class HedgeThreshold
{
public:
    /// Returns the multiple for a route; at least 1.
    double multiple(const std::string &route) const;

    /// Lowers the multiple after a request without a hedge, or raises it after a hedged one.
    void onNotHedged(const std::string &route);
    void onHedged(const std::string &route);

private:
    void adjust(const std::string &route, double step);

    std::unordered_map<std::string, double> multiples_;
};

} // namespace Burdock
