#include <burdock/router/relaycodec.h>

#include <nlohmann/json.hpp>

namespace Burdock
{

using Json = nlohmann::json;

std::string writeChanges(const std::vector<StoreEntry> &entries)
{
    Json list = Json::array();
    for (const StoreEntry &entry : entries) {
        list.push_back({entry.key, Json::binary({entry.value.begin(), entry.value.end()}), entry.modRevision, entry.lease, entry.deleted});
    }
    std::string bytes;
    Json::to_cbor(list, bytes);
    return bytes;
}

Result<std::vector<StoreEntry>> readChanges(const std::string &bytes)
{
    try {
        std::vector<StoreEntry> entries;
        for (const Json &read : Json::from_cbor(bytes)) {
            const auto &value = read.at(1).get_binary();
            entries.push_back(
                {read.at(0).get<std::string>(), std::string(value.begin(), value.end()), read.at(2).get<std::int64_t>(), read.at(3).get<std::int64_t>(), read.at(4).get<bool>()});
        }
        return entries;
    } catch (const Json::exception &error) {
        return notRun(Errc::ConnectionLost, std::string("the relay's answer is malformed: ") + error.what());
    }
}

} // namespace Burdock
