#include <burdock/router/relaycodec.h>

#include <burdock/wire/cbor.h>

namespace Burdock
{

using Json = nlohmann::json;

namespace
{

Json entriesJson(const std::vector<StoreEntry> &entries)
{
    Json list = Json::array();
    for (const StoreEntry &entry : entries) {
        list.push_back({entry.key, Json::binary({entry.value.begin(), entry.value.end()}), entry.modRevision, entry.lease, entry.deleted});
    }
    return list;
}

std::vector<StoreEntry> entriesOf(const Json &list)
{
    std::vector<StoreEntry> entries;
    entries.reserve(list.size());
    for (const Json &read : list) {
        const auto &value = read.at(1).get_binary();
        entries.push_back({read.at(0).get<std::string>(),
                           std::string(value.begin(), value.end()),
                           read.at(2).get<std::int64_t>(),
                           read.at(3).get<std::int64_t>(),
                           read.at(4).get<bool>()});
    }
    return entries;
}

std::string bytesOf(const Json &message)
{
    std::string bytes;
    Json::to_cbor(message, bytes);
    return bytes;
}

/// Parses a relay's answer and reads it with `read`.
template<class T, class Read>
Result<T> readAnswer(const std::string &bytes, Read read)
{
    const Result<Json> message = parseCbor(bytes);
    if (!message) {
        return notRun(Errc::ConnectionLost, "the relay's answer is malformed: " + message.error().message);
    }
    try {
        return read(*message);
    } catch (const Json::exception &error) {
        return notRun(Errc::ConnectionLost, std::string("the relay's answer is malformed: ") + error.what());
    }
}

} // namespace

bool RelayFormat::isReadable(const std::map<std::string, std::string> &headers)
{
    const auto named = headers.find(Header);
    return named == headers.end() || named->second == std::to_string(Current);
}

std::string writeChanges(const std::vector<StoreEntry> &entries)
{
    return bytesOf(entriesJson(entries));
}

Result<std::vector<StoreEntry>> readChanges(const std::string &bytes)
{
    return readAnswer<std::vector<StoreEntry>>(bytes, [](const Json &message) { return entriesOf(message); });
}

std::string writeRange(const StoreRange &range)
{
    return bytesOf(Json::array({range.revision, entriesJson(range.entries)}));
}

Result<StoreRange> readRange(const std::string &bytes)
{
    return readAnswer<StoreRange>(bytes, [](const Json &message) { return StoreRange{entriesOf(message.at(1)), message.at(0).get<std::int64_t>()}; });
}

} // namespace Burdock
