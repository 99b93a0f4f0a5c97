#pragma once

#include <burdock/routing/routingconfig.h>

#include <string>
#include <unordered_map>

namespace Burdock
{

/// Deals the requests of split routes out to their services in the proportion of the weights, evenly also over short spans.
class WeightedSplit
{
public:
    /// The service of the route's next request. The route has services.
    const ServiceName &next(const Route &route);

private:
    struct SplitState
    {
        std::vector<WeightedService> services;
        /// What each service is owed; the one that is owed most is next.
        std::vector<double> credits;
    };

    std::unordered_map<std::string, SplitState> routes_;
};

} // namespace Burdock
