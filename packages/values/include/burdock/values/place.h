#pragma once

#include <burdock/values/address.h>
#include <burdock/values/names.h>

#include <cstdint>
#include <tuple>
#include <vector>

namespace Burdock
{

/// Where a machine stands.
struct Place
{
    Region region;
    DataCentre dataCentre;

    auto fields() const
    {
        return std::tie(region, dataCentre);
    }
};

/// What the platform's instance list says of one instance of the system.
struct ListedInstance
{
    InstanceId id;
    Place place;
    /// Where callers connect (HTTP).
    Address callers;
    /// Where peers connect (WebSocket over TCP) and send probes (UDP).
    Address peers;
    bool leaving = false;

    auto fields() const
    {
        return std::tie(id, place, callers, peers, leaving);
    }
};

/// What the platform's instance list says of one backend server.
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

/// One version of the platform's instance list. It lags.
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
