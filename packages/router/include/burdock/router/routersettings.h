#pragma once

#include <burdock/routing/repeatbudget.h>
#include <burdock/values/address.h>
#include <burdock/values/names.h>

#include <map>
#include <string>

namespace Burdock
{

/// The bound on a rate that all instances share: in any window, (rate x window + burst) x (1 + overage) + slack.
struct RateBound
{
    Duration window = std::chrono::seconds(1);
    double overage = 0;
    double slack = 0;

    auto fields() const
    {
        return std::tie(window, overage, slack);
    }
};

/// The settings of a routing instance.
struct RouterSettings
{
    InstanceId id;
    Region region;
    DataCentre dataCentre;
    /// The region of each data centre.
    std::map<DataCentre, Region> regions;
    /// The listening addresses for clients' requests, the readiness check, and the directory of addresses.
    Address clients;
    Address readiness;
    Address directory;
    /// The listening address for other instances, which request changes of the store, and for metrics.
    Address peers;
    Address store;
    RepeatTerms repeats;
    /// The bound on the rates of workspaces.
    RateBound workspaceRates{};
    /// The bound on the requests to one cold server.
    RateBound coldServers{};
    /// Whether operators may empty data centres, so that their requests to do so are followed.
    bool emptiesDataCentres = false;
    /// The time between the stop signal and the forced end of the process.
    Duration stopTime = std::chrono::seconds(6);
    /// The time for which clients cache the directory's response.
    std::chrono::seconds directoryTtl{1};
    /// The number of processor cores available to the process; may be fractional.
    double cores = 1;
    /// The maximum number of file descriptors of the process.
    std::uint32_t descriptors = 1024;
    /// Whether the whole system starts for the first time, so that no instance has written its record yet.
    bool firstStart = false;

    auto fields() const
    {
        return std::tie(id,
                        region,
                        dataCentre,
                        regions,
                        clients,
                        readiness,
                        directory,
                        peers,
                        store,
                        repeats,
                        workspaceRates,
                        coldServers,
                        emptiesDataCentres,
                        stopTime,
                        directoryTtl,
                        cores,
                        descriptors,
                        firstStart);
    }
};

} // namespace Burdock
