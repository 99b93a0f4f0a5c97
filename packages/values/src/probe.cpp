#include <burdock/values/probe.h>

namespace Burdock
{

namespace
{

/// CBOR's head of a text string of up to 255 bytes.
constexpr std::size_t TextHead = 2;
/// CBOR's largest whole number.
constexpr std::size_t WholeNumber = 9;
/// Array heads, kind, state, life and protocol.
constexpr std::size_t SmallParts = 8;
/// A port and the heads of an address.
constexpr std::size_t PortAndHeads = 4;

std::size_t textBytes(const std::string &text)
{
    return TextHead + text.size();
}

std::size_t detailBytes(const ListedInstance &details)
{
    return SmallParts + textBytes(details.place.region.text()) + textBytes(details.place.dataCentre.text()) + textBytes(details.callers.host)
        + textBytes(details.peers.host) + 2 * PortAndHeads;
}

} // namespace

std::size_t probeHeaderBytes(const ProbeMessage &message)
{
    return SmallParts + 3 * WholeNumber + textBytes(message.from.text()) + textBytes(message.target.text());
}

std::size_t probeUpdateBytes(const ProbeUpdate &update)
{
    return SmallParts + WholeNumber + textBytes(update.member.text()) + (update.details ? detailBytes(*update.details) : 0);
}

} // namespace Burdock
