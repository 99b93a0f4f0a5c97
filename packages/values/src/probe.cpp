#include <burdock/values/probe.h>

namespace Burdock
{

namespace
{

/// The CBOR header of a text string of up to 255 bytes.
constexpr std::size_t TextHeaderBytes = 2;
/// The maximum size of a CBOR integer.
constexpr std::size_t MaxIntegerBytes = 9;
/// Array headers, kind, state, life and protocol.
constexpr std::size_t SmallFieldBytes = 8;
/// A port and the CBOR headers of an address.
constexpr std::size_t PortAndHeaderBytes = 4;

std::size_t textBytes(const std::string &text)
{
    return TextHeaderBytes + text.size();
}

std::size_t detailBytes(const ListedInstance &details)
{
    return SmallFieldBytes + textBytes(details.place.region.text()) + textBytes(details.place.dataCentre.text()) + textBytes(details.callers.host)
        + textBytes(details.peers.host) + 2 * PortAndHeaderBytes;
}

} // namespace

std::size_t probeHeaderBytes(const ProbeMessage &message)
{
    return SmallFieldBytes + 3 * MaxIntegerBytes + textBytes(message.from.text()) + textBytes(message.target.text());
}

std::size_t probeUpdateBytes(const ProbeUpdate &update)
{
    return SmallFieldBytes + MaxIntegerBytes + textBytes(update.member.text()) + (update.details ? detailBytes(*update.details) : 0);
}

} // namespace Burdock
