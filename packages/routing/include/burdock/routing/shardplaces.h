#pragma once

#include <burdock/routing/routingconfig.h>
#include <burdock/routing/servertable.h>

#include <set>

namespace Burdock
{

/// Returns the data centres where requests to all shards find most of their servers: those with a usable server of at least half of
/// the shards of a route.
std::set<DataCentre> shardDataCentres(const RoutingConfig &config, const ServerTable &servers);

} // namespace Burdock
