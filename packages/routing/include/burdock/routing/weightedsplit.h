#pragma once

#include <burdock/routing/routingconfig.h>

#include <string>
#include <unordered_map>

namespace Burdock
{

/// Distributes the requests of split routes over their services by weight with smooth weighted round-robin, evenly also over
/// short periods.
class WeightedSplit
{
public:
    /// Returns the service of the route's next request. The route must have services.
    const ServiceName &next(const Route &route);

private:
    struct SplitState
    {
        std::vector<WeightedService> services;
        /// The credit of each service; the one with the greatest credit is next.
        std::vector<double> credits;
    };

    std::unordered_map<std::string, SplitState> routes_;
};

} // namespace Burdock
