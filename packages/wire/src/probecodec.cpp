#include <burdock/wire/probecodec.h>

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

/// The version of the probe protocol. Datagrams of another version are treated as malformed.
constexpr std::uint64_t ProbeProtocol = 1;

constexpr std::size_t HeaderFields = 9;
constexpr std::size_t BriefUpdateFields = 4;
constexpr std::size_t DetailedUpdateFields = 9;
/// The maximum length of an IP number in text form.
constexpr std::size_t MaxHostBytes = 45;

/// Thrown within decodeProbe for a field that is out of bounds.
struct OutOfBounds : std::runtime_error
{
    OutOfBounds()
        : std::runtime_error("a field is out of bounds")
    {
    }
};

std::uint64_t readUnsigned(const Json &value, std::uint64_t max)
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max) {
        throw OutOfBounds();
    }
    return value.get<std::uint64_t>();
}

std::string readText(const Json &value, std::size_t maxBytes)
{
    if (!value.is_string() || value.get_ref<const std::string &>().size() > maxBytes) {
        throw OutOfBounds();
    }
    return value.get<std::string>();
}

template<class Enum>
Enum readEnum(const Json &value, Enum last)
{
    return static_cast<Enum>(readUnsigned(value, static_cast<std::uint64_t>(last)));
}

Address readAddress(const Json &host, const Json &port)
{
    return {readText(host, MaxHostBytes), static_cast<std::uint16_t>(readUnsigned(port, UINT16_MAX))};
}

Json encodeUpdate(const ProbeUpdate &update)
{
    Json fields = Json::array({update.member.text(), update.incarnation, static_cast<int>(update.state), static_cast<int>(update.life)});
    if (update.details) {
        const ListedInstance &details = *update.details;
        fields.push_back(details.place.region.text());
        fields.push_back(details.place.dataCentre.text());
        fields.push_back(Json::array({details.callers.host, details.callers.port}));
        fields.push_back(Json::array({details.peers.host, details.peers.port}));
        fields.push_back(details.leaving);
    }
    return fields;
}

Address decodeAddress(const Json &value)
{
    if (!value.is_array() || value.size() != 2) {
        throw OutOfBounds();
    }
    return readAddress(value[0], value[1]);
}

ProbeUpdate decodeUpdate(const Json &fields)
{
    if (!fields.is_array() || (fields.size() != BriefUpdateFields && fields.size() != DetailedUpdateFields)) {
        throw OutOfBounds();
    }
    ProbeUpdate update;
    update.member = InstanceId(readText(fields[0], ProbeNameBytes));
    update.incarnation = readUnsigned(fields[1], MaxIncarnation);
    update.state = readEnum(fields[2], MemberState::Dead);
    update.life = readEnum(fields[3], MemberLife::Leaving);
    if (fields.size() == DetailedUpdateFields) {
        ListedInstance details;
        details.id = update.member;
        details.place = {Region(readText(fields[4], ProbeNameBytes)), DataCentre(readText(fields[5], ProbeNameBytes))};
        details.callers = decodeAddress(fields[6]);
        details.peers = decodeAddress(fields[7]);
        details.leaving = fields[8].is_boolean() ? fields[8].get<bool>() : throw OutOfBounds();
        update.details = details;
    }
    return update;
}

ProbeMessage decodeFields(const Json &fields)
{
    if (!fields.is_array() || fields.size() != HeaderFields || !fields[8].is_array()) {
        throw OutOfBounds();
    }
    if (readUnsigned(fields[0], UINT64_MAX) != ProbeProtocol) {
        throw OutOfBounds();
    }
    ProbeMessage message;
    message.kind = readEnum(fields[1], ProbeKind::Notice);
    message.number = static_cast<std::uint32_t>(readUnsigned(fields[2], UINT32_MAX));
    message.from = InstanceId(readText(fields[3], ProbeNameBytes));
    message.incarnation = readUnsigned(fields[4], MaxIncarnation);
    message.life = readEnum(fields[5], MemberLife::Leaving);
    message.configVersion = readUnsigned(fields[6], UINT64_MAX);
    message.target = InstanceId(readText(fields[7], ProbeNameBytes));
    for (const Json &update : fields[8]) {
        message.updates.push_back(decodeUpdate(update));
    }
    return message;
}

} // namespace

std::string encodeProbe(const ProbeMessage &message)
{
    Json updates = Json::array();
    for (const ProbeUpdate &update : message.updates) {
        updates.push_back(encodeUpdate(update));
    }
    const Json fields = Json::array({ProbeProtocol,
                                     static_cast<int>(message.kind),
                                     message.number,
                                     message.from.text(),
                                     message.incarnation,
                                     static_cast<int>(message.life),
                                     message.configVersion,
                                     message.target.text(),
                                     std::move(updates)});
    std::string datagram;
    Json::to_cbor(fields, datagram);
    return datagram;
}

Result<ProbeMessage> decodeProbe(const std::string &datagram)
{
    if (datagram.size() > ProbeDatagramBytes) {
        return notRun(Errc::TooLarge, "the datagram is larger than a probe");
    }
    // nlohmann::json throws for an impossible length even if exceptions are disabled for the call.
    try {
        return decodeFields(Json::from_cbor(datagram));
    } catch (const Json::exception &) {
        return notRun(Errc::BadRequest, "the datagram is not CBOR");
    } catch (const OutOfBounds &fault) {
        return notRun(Errc::BadRequest, fault.what());
    }
}

ProbeChannel::ProbeChannel(DatagramSocket &socket)
    : socket_(socket)
{
    socket_.setHandler([this](const Address &from, const std::string &datagram) { receive(from, datagram); });
}

ProbeChannel::~ProbeChannel()
{
    socket_.setHandler(nullptr);
}

void ProbeChannel::setHandler(Handler handler)
{
    handler_ = std::move(handler);
}

void ProbeChannel::send(const Address &to, const ProbeMessage &message)
{
    const std::string datagram = encodeProbe(message);
    if (datagram.size() > ProbeDatagramBytes) {
        ++counters_.oversize;
        return;
    }
    ++counters_.sent;
    counters_.sentBytes += datagram.size();
    socket_.send(to, datagram);
}

const ProbeChannelCounters &ProbeChannel::counters() const
{
    return counters_;
}

void ProbeChannel::receive(const Address &from, const std::string &datagram)
{
    ++counters_.received;
    counters_.receivedBytes += datagram.size();
    const auto message = decodeProbe(datagram);
    if (!message) {
        ++counters_.malformed;
    } else if (handler_) {
        handler_(from, *message);
    }
}

} // namespace Burdock
