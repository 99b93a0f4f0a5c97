#pragma once

#include <burdock/router/routermetrics.h>
#include <burdock/routing/costplacing.h>

namespace Burdock
{

/// Adds the estimates of requests' costs, their ages and weights by route and service. There are none while no service's requests are
/// placed by cost.
void addCostMetrics(RouterMetrics &metrics, const CostPlacing &placing, const Runtime &runtime);

} // namespace Burdock
