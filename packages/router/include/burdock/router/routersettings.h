#pragma once

#include <burdock/routing/repeatbudget.h>
#include <burdock/values/address.h>
#include <burdock/values/names.h>

#include <map>
#include <string>

namespace Burdock
{

/// What a routing instance learns from its settings.
struct RouterSettings
{
    InstanceId id;
    Region region;
    DataCentre dataCentre;
    /// The region of each data centre.
    std::map<DataCentre, Region> regions;
    /// Where clients send requests, ask whether the instance is ready, and ask which addresses to use.
    Address clients;
    Address readiness;
    Address directory;
    /// Where other instances ask for changes of the store, and where metrics are served.
    Address peers;
    Address store;
    RepeatTerms repeats;
    /// The time between the signal to stop and the end of the process.
    Duration stopTime = std::chrono::seconds(6);
    /// For how long clients keep the answer to which addresses to use.
    std::chrono::seconds directoryTtl{1};
    /// How many processor cores the process has, in parts of one.
    double cores = 1;
    /// How many descriptors the process may use.
    std::uint32_t descriptors = 1024;

    auto fields() const
    {
        return std::tie(id, region, dataCentre, regions, clients, readiness, directory, peers, store, repeats, stopTime, directoryTtl, cores, descriptors);
    }
};

} // namespace Burdock
