#pragma once

#include <burdock/router/routermetrics.h>
#include <burdock/routing/routingcontext.h>

namespace Burdock
{

/// Adds the counts of refused requests by cause. The counters must outlive the metrics.
void addRefusalMetrics(RouterMetrics &metrics, const RoutingCounters &counters);

} // namespace Burdock
