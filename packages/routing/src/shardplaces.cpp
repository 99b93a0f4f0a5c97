#include <burdock/routing/shardplaces.h>

#include <map>

namespace Burdock
{

namespace
{

/// A data centre counts with servers of at least one in this many shards.
constexpr std::size_t MinShareDivisor = 2;

} // namespace

std::set<DataCentre> shardDataCentres(const RoutingConfig &config, const ServerTable &servers)
{
    std::set<DataCentre> found;
    for (const Route &route : config.routes) {
        std::map<DataCentre, std::size_t> shards;
        for (const ServiceName &shard : route.shards) {
            std::set<DataCentre> places;
            for (const ServerHandle &server : servers.servers(shard)) {
                places.insert(server->dataCentre);
            }
            for (const DataCentre &place : places) {
                ++shards[place];
            }
        }
        for (const auto &[place, count] : shards) {
            if (count * MinShareDivisor >= route.shards.size()) {
                found.insert(place);
            }
        }
    }
    return found;
}

} // namespace Burdock
