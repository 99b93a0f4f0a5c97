#pragma once

#include <burdock/fakes/fleetfile.h>
#include <burdock/values/configuration.h>

namespace Burdock
{

/// How stand-in servers are made from declarations.
struct DeclaredFleetOptions
{
    /// The regions over which the replicas of each shard are spread; each has one data centre.
    std::vector<Region> regions;
    std::uint32_t documentsPerIndex = 2000;
    /// The middle service time of every server.
    Duration service = std::chrono::milliseconds(2);
    double stragglerShare = 0;
    double stragglerFactor = 1;
};

/// Stand-in servers for every server that the declarations name, holding the shards that they give it.
FleetFile fleetOf(const Configuration &configuration, const DeclaredFleetOptions &options);

} // namespace Burdock
