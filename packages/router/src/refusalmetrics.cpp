#include <burdock/router/refusalmetrics.h>

#include <array>
#include <cstdint>

namespace Burdock
{

namespace
{

struct RefusalMetric
{
    const char *name;
    const char *help;
    std::uint64_t RoutingCounters::*count;
};

constexpr std::array<RefusalMetric, 8> RefusalMetrics{{
    {"burdock_refused_by_servers_total", "Requests that a server did not run.", &RoutingCounters::refusedByServers},
    {"burdock_refused_as_guilty_total", "Requests that are known to crash servers, refused at once.", &RoutingCounters::refusedAsGuilty},
    {"burdock_refused_for_place_total", "Requests without a listed server where they may be served.", &RoutingCounters::refusedForPlace},
    {"burdock_refused_without_key_total", "Requests without a key whose route needs one.", &RoutingCounters::refusedWithoutKey},
    {"burdock_refused_unknown_key_total", "Requests whose key or workspace the configuration lacks.", &RoutingCounters::refusedUnknownKey},
    {"burdock_refused_for_connections_total",
     "Requests for which there were no connections left to all servers that they need at once.",
     &RoutingCounters::refusedForConnections},
    {"burdock_refused_over_rate_total", "Requests over the rate of their workspace.", &RoutingCounters::refusedOverRate},
    {"burdock_refused_no_region_total", "Requests whose route and workspace have no region in common.", &RoutingCounters::refusedNoRegion},
}};

} // namespace

void addRefusalMetrics(RouterMetrics &metrics, const RoutingCounters &counters)
{
    for (const RefusalMetric &metric : RefusalMetrics) {
        metrics.addValue(metric.name, "counter", metric.help, [&counters, count = metric.count] { return static_cast<double>(counters.*count); });
    }
}

} // namespace Burdock
