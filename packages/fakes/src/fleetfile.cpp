#include <burdock/fakes/fleetfile.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

Duration milliseconds(const Json &object, const char *field)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(object.value(field, 0.0)));
}

FakeIndexDeclaration indexOf(const Json &object)
{
    FakeIndexDeclaration index;
    index.name = IndexName(object.at("name").get<std::string>());
    index.documents = object.at("documents").get<std::uint32_t>();
    index.shape = object.value("shape", "even") == "skewed" ? ScoreShape::Skewed : ScoreShape::Even;
    index.versions = VersionWindow{object.value("oldest", std::uint64_t{1}), object.value("newest", std::uint64_t{1})};
    return index;
}

ListedServer listedOf(const Json &object)
{
    ListedServer listed;
    listed.id = ServerId(object.at("id").get<std::string>());
    listed.fleet = FleetName(object.at("fleet").get<std::string>());
    listed.place = Place{Region(object.at("region").get<std::string>()), DataCentre(object.at("dataCentre").get<std::string>())};
    const auto address = Address::parse(object.value("address", "127.0.0.1:0"));
    if (!address) {
        throw std::invalid_argument(address.error().message);
    }
    listed.address = *address;
    return listed;
}

FakeServerDeclaration serverOf(const Json &object)
{
    FakeServerDeclaration server;
    server.listed = listedOf(object);
    server.slots = object.value("slots", 1U);
    server.queue = object.value("queue", server.slots);
    server.connections = object.value("connections", 100U);
    server.connectionCost = milliseconds(object, "connectionCostMs");
    server.service = milliseconds(object, "serviceMs");
    server.stragglerFraction = object.value("stragglerShare", 0.0);
    server.stragglerFactor = object.value("stragglerFactor", 1.0);
    server.shards = fakeShardsOf(object.value("shards", Json::array()));
    return server;
}

} // namespace

std::vector<FakeShard> fakeShardsOf(const Json &list)
{
    std::vector<FakeShard> shards;
    for (const Json &object : list) {
        shards.push_back(FakeShard{IndexName(object.at("index").get<std::string>()),
                                   ShardId(object.at("shard").get<std::string>()),
                                   KeyRange{object.at("begin").get<std::uint64_t>(), object.at("end").get<std::uint64_t>()},
                                   object.at("mapGeneration").get<std::uint64_t>()});
    }
    return shards;
}

Result<FleetFile> parseFleetFile(const std::string &text)
{
    try {
        const Json json = Json::parse(text);
        FleetFile file;
        file.seed = json.value("seed", std::uint64_t{1});
        for (const Json &object : json.value("indexes", Json::array())) {
            file.indexes.push_back(indexOf(object));
        }
        for (const Json &object : json.at("servers")) {
            file.servers.push_back(serverOf(object));
        }
        return file;
    } catch (const std::exception &error) {
        return notRun(Errc::BadRequest, std::string("invalid fleet file: ") + error.what());
    }
}

} // namespace Burdock
