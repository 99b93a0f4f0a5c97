#pragma once

#include <burdock/values/address.h>
#include <burdock/values/names.h>

#include <cstdint>
#include <tuple>
#include <vector>

namespace Burdock
{

/// The location of a machine.
struct Place
{
    Region region;
    DataCentre dataCentre;

    auto fields() const
    {
        return std::tie(region, dataCentre);
    }
};

/// The entry of one instance of the system in the platform's instance list.
struct ListedInstance
{
    InstanceId id;
    Place place;
    /// The address for callers (HTTP).
    Address callers;
    /// The address for peers: connections (WebSocket over TCP) and probes (UDP).
    Address peers;
    bool leaving = false;

    auto fields() const
    {
        return std::tie(id, place, callers, peers, leaving);
    }
};

/// The entry of one backend server in the platform's instance list.
struct ListedServer
{
    ServerId id;
    FleetName fleet;
    Place place;
    Address address;
    bool leaving = false;

    auto fields() const
    {
        return std::tie(id, fleet, place, address, leaving);
    }
};

/// One version of the platform's instance list. The list lags behind the actual state.
struct InstanceList
{
    std::uint64_t version = 0;
    std::vector<ListedInstance> instances;
    std::vector<ListedServer> servers;

    auto fields() const
    {
        return std::tie(version, instances, servers);
    }
};

} // namespace Burdock
