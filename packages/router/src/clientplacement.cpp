#include <burdock/router/clientplacement.h>

#include <burdock/routing/shardplaces.h>

#include <utility>

namespace Burdock
{

ClientPlacement::ClientPlacement(const ServerTable &servers, InstanceTable &instances, DecisionLog &log, std::function<void()> onChanged)
    : servers_(servers)
    , instances_(instances)
    , log_(log)
    , onChanged_(std::move(onChanged))
{
}

void ClientPlacement::setRoutes(std::shared_ptr<const RouteTable> routes)
{
    routes_ = std::move(routes);
    pending_ = true;
}

void ClientPlacement::onServersChanged()
{
    pending_ = true;
}

void ClientPlacement::update()
{
    if (!routes_ || !std::exchange(pending_, false)) {
        return;
    }
    std::set<DataCentre> dataCentres = shardDataCentres(routes_->config(), servers_);
    if (dataCentres == dataCentres_) {
        return;
    }
    dataCentres_ = std::move(dataCentres);
    std::string names;
    for (const DataCentre &dataCentre : dataCentres_) {
        names += (names.empty() ? "" : " ") + dataCentre.text();
    }
    log_.write(DecisionPriority::Change, "clients.placed", {{"dataCentres", names}, {"config", routes_->config().version}});
    instances_.setShardDataCentres(dataCentres_);
    onChanged_();
}

} // namespace Burdock
