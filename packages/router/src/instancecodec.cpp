#include <burdock/router/instancecodec.h>

#include <burdock/wire/json.h>

namespace Burdock
{

using Json = nlohmann::json;

std::string writeInstance(const InstanceRecord &record)
{
    return writeJson(Json{{"id", record.id.text()},
                          {"address", record.address.toString()},
                          {"peers", record.peers.toString()},
                          {"region", record.region.text()},
                          {"dataCentre", record.dataCentre.text()},
                          {"ready", record.ready},
                          {"cores", record.cores},
                          {"crowded", record.crowded},
                          {"born", record.edition.born},
                          {"sequence", record.edition.sequence},
                          {"cutOff", record.cutOff},
                          {"sharesRates", record.sharesRates},
                          {"keepsRegions", true},
                          {"followsEmptied", record.followsEmptied}});
}

Result<InstanceRecord> readInstance(const std::string &value)
{
    try {
        const auto parsed = parseJson(value);
        if (!parsed) {
            return tl::make_unexpected(parsed.error());
        }
        const Json &read = *parsed;
        const Result<Address> address = Address::parse(read.at("address").get<std::string>());
        const Result<Address> peers = Address::parse(read.at("peers").get<std::string>());
        if (!address || !peers) {
            return tl::make_unexpected((address ? peers : address).error());
        }
        return InstanceRecord{InstanceId(read.at("id").get<std::string>()),
                              *address,
                              *peers,
                              Region(read.at("region").get<std::string>()),
                              DataCentre(read.at("dataCentre").get<std::string>()),
                              read.at("ready").get<bool>(),
                              read.at("cores").get<double>(),
                              read.at("crowded").get<bool>(),
                              {read.value("born", std::int64_t{0}), read.value("sequence", std::int64_t{0})},
                              read.value("cutOff", false),
                              // The builds that state this are those that serve requests of others.
                              read.contains("cutOff"),
                              read.value("sharesRates", false),
                              read.value("keepsRegions", false),
                              read.value("followsEmptied", false)};
    } catch (const Json::exception &error) {
        return notRun(Errc::BadRequest, std::string("not an instance's record: ") + error.what());
    }
}

} // namespace Burdock
