#include <burdock/wire/peermessage.h>

#include "internal/framereader.h"
#include "internal/framewriter.h"

#include <utility>

namespace Burdock
{

namespace
{

template<class Message>
bool readMessage(FrameReader &reader, std::size_t fieldCount, std::vector<PeerMessage> &messages)
{
    Message message;
    if (fieldCount != std::tuple_size_v<decltype(message.fields())> || !reader.readFields(message)) {
        return false;
    }
    messages.emplace_back(std::move(message));
    return true;
}

using MessageReader = bool (*)(FrameReader &, std::size_t, std::vector<PeerMessage> &);

template<std::size_t... Place>
constexpr auto makeReaders(std::index_sequence<Place...>)
{
    return std::array<MessageReader, sizeof...(Place)>{&readMessage<std::variant_alternative_t<Place, PeerMessage>>...};
}

/// The decoding function of each message type, indexed by its number on the wire.
constexpr auto MessageReaders = makeReaders(std::make_index_sequence<std::variant_size_v<PeerMessage>>());

bool readAnyMessage(FrameReader &reader, std::vector<PeerMessage> &messages)
{
    std::size_t itemCount = 0;
    std::uint64_t number = 0;
    return reader.readList(itemCount) && itemCount > 0 && reader.read(number) && number < MessageReaders.size()
        && MessageReaders[number](reader, itemCount - 1, messages);
}

bool readFrame(FrameReader &reader, std::vector<PeerMessage> &messages)
{
    std::size_t count = 0;
    if (!reader.readList(count)) {
        return false;
    }
    for (std::size_t i = 0; i < count; ++i) {
        if (!readAnyMessage(reader, messages)) {
            return false;
        }
    }
    return true;
}

} // namespace

std::string encodeFrame(const std::vector<PeerMessage> &messages)
{
    nlohmann::json::array_t array;
    array.reserve(messages.size());
    for (const PeerMessage &message : messages) {
        array.push_back(FrameWriter::message(message));
    }
    std::string frame;
    nlohmann::json::to_cbor(array, frame);
    return frame;
}

Result<std::vector<PeerMessage>> decodeFrame(const std::string &frame)
{
    FrameItems items;
    std::vector<PeerMessage> messages;
    if (items.read(frame)) {
        FrameReader reader(items);
        if (readFrame(reader, messages)) {
            return messages;
        }
    }
    return notRun(Errc::BadRequest, "the frame is not a list of well-formed messages");
}

} // namespace Burdock
