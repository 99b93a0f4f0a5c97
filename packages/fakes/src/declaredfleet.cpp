#include <burdock/fakes/declaredfleet.h>

#include <map>

namespace Burdock
{

namespace
{

/// Collects the indexes and servers of all declarations.
class FleetBuilder
{
public:
    FleetBuilder(const Configuration &configuration, const DeclaredFleetOptions &options)
        : configuration_(configuration)
        , options_(options)
    {
    }

    void addIndex(const IndexDeclaration &index)
    {
        file_.indexes.push_back(FakeIndexDeclaration{index.name, options_.documentsPerIndex, ScoreShape::Even, VersionWindow{1, 1}});
        for (const Shard &shard : index.map.shards) {
            for (std::size_t replica = 0; replica < shard.replicas.size(); ++replica) {
                FakeServerDeclaration &server = serverOf(shard.replicas[replica], index.fleet, replica);
                server.shards.push_back(FakeShard{index.name, shard.id, shard.range, index.map.generation});
            }
        }
    }

    void addCommand(const CommandDeclaration &command)
    {
        for (std::size_t place = 0; place < command.servers.size(); ++place) {
            serverOf(command.servers[place], command.fleet, place);
        }
    }

    FleetFile take()
    {
        for (auto &[name, server] : servers_) {
            file_.servers.push_back(std::move(server));
        }
        return std::move(file_);
    }

private:
    FakeServerDeclaration &serverOf(const ServerId &id, const FleetName &fleetName, std::size_t replica)
    {
        const auto [place, added] = servers_.try_emplace(id);
        FakeServerDeclaration &server = place->second;
        if (!added) {
            return server;
        }
        const FleetDeclaration &fleet = configuration_.fleets.at(fleetName);
        const Region &region = options_.regions.at(replica % options_.regions.size());
        server.listed = ListedServer{id, fleetName, Place{region, DataCentre(region.text() + "-1")}, Address{"127.0.0.1", 0}, false};
        server.slots = fleet.slots;
        server.queue = fleet.slots;
        server.connections = fleet.connections;
        server.connectionCost = fleet.connectionCost;
        server.service = options_.service;
        server.stragglerFraction = options_.stragglerFraction;
        server.stragglerFactor = options_.stragglerFactor;
        return server;
    }

    const Configuration &configuration_;
    const DeclaredFleetOptions &options_;
    FleetFile file_;
    std::map<ServerId, FakeServerDeclaration> servers_;
};

} // namespace

FleetFile fleetOf(const Configuration &configuration, const DeclaredFleetOptions &options)
{
    FleetBuilder builder(configuration, options);
    for (const auto &[name, index] : configuration.indexes) {
        builder.addIndex(index);
    }
    for (const auto &[name, command] : configuration.commands) {
        builder.addCommand(command);
    }
    return builder.take();
}

} // namespace Burdock
