#pragma once

#include <burdock/router/decisionlog.h>
#include <burdock/routing/instancetable.h>
#include <burdock/routing/routetable.h>
#include <burdock/routing/servertable.h>

#include <functional>
#include <memory>
#include <set>

namespace Burdock
{

/// Keeps the instance table informed of the data centres in which requests to all shards find most of their servers, so that clients
/// are directed there.
class ClientPlacement
{
public:
    /// `onChanged` is called after the table was told other data centres.
    ClientPlacement(const ServerTable &servers, InstanceTable &instances, DecisionLog &log, std::function<void()> onChanged);

    void setRoutes(std::shared_ptr<const RouteTable> routes);

    /// Records that servers were added or removed.
    void onServersChanged();

    /// Applies what has changed since the last call.
    void update();

private:
    const ServerTable &servers_;
    InstanceTable &instances_;
    DecisionLog &log_;
    std::function<void()> onChanged_;
    std::shared_ptr<const RouteTable> routes_;
    bool pending_ = false;
    std::set<DataCentre> dataCentres_;
};

} // namespace Burdock
