#pragma once

#include <burdock/fakes/fleetfile.h>
#include <burdock/values/configuration.h>

namespace Burdock
{

/// Options for generating fake servers from declarations.
struct DeclaredFleetOptions
{
    /// Regions that the replicas of each shard are distributed over; each has one data centre.
    std::vector<Region> regions;
    std::uint32_t documentsPerIndex = 2000;
    /// The mean service time of every server.
    Duration service = std::chrono::milliseconds(2);
    double stragglerFraction = 0;
    double stragglerFactor = 1;
};

/// Returns a fake server for every server named in the declarations, with the shards assigned to it there.
FleetFile fleetOf(const Configuration &configuration, const DeclaredFleetOptions &options);

} // namespace Burdock
