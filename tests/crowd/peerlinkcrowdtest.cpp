#include "crowdeddaemon.h"

using namespace Burdock;

namespace
{

/// The largest frame that instances send each other.
constexpr std::size_t FrameBytes = 4194304;
constexpr std::size_t MissingBytes = 44;

/// The request that opens a link, without its end.
const std::string OpenHead = "GET /link HTTP/1.1\r\nHost: i\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                             "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n";

/// A frame of RFC 6455 whose payload is masked with zeros.
std::string frame(unsigned char first, std::size_t length)
{
    constexpr unsigned char MaskedWithLongLength = 0xff;
    constexpr int LengthBytes = 8;
    constexpr unsigned BitsPerByte = 8;
    std::string text(1, static_cast<char>(first));
    text += static_cast<char>(MaskedWithLongLength);
    for (int index = LengthBytes - 1; index >= 0; --index) {
        text += static_cast<char>(length >> (BitsPerByte * static_cast<unsigned>(index)));
    }
    return text + std::string(4, '\0');
}

/// A client that opens a link and sends a frame that stops just short of its end.
std::shared_ptr<const std::string> frameThatStops()
{
    constexpr unsigned char FinalBinary = 0x82;
    return std::make_shared<const std::string>(OpenHead + "\r\n" + frame(FinalBinary, FrameBytes) + std::string(FrameBytes - MissingBytes, 'f'));
}

/// A client that opens a link and sends a message in pieces, of which none is the last.
std::shared_ptr<const std::string> piecesWithoutEnd()
{
    constexpr unsigned char FirstBinary = 0x02;
    constexpr unsigned char Continued = 0x00;
    constexpr std::size_t PieceBytes = 65536;
    std::string bytes = OpenHead + "\r\n" + frame(FirstBinary, PieceBytes) + std::string(PieceBytes, 'p');
    for (std::size_t sent = PieceBytes; sent < FrameBytes - PieceBytes; sent += PieceBytes) {
        bytes += frame(Continued, PieceBytes) + std::string(PieceBytes, 'p');
    }
    return std::make_shared<const std::string>(std::move(bytes));
}

} // namespace

TEST_CASE("burdockd stays within its memory while crowds press on the listener for other instances", "[crowd][process]")
{
    constexpr std::size_t Count = 150;
    CrowdedDaemon daemon;
    const Address address = daemon.peers();
    Crowd &crowd = daemon.crowd();
    const std::string kind = GENERATE("frames", "pieces", "heads", "bodies");
    INFO(kind);
    if (kind == "frames") {
        crowd.connect(address, Count, {frameThatStops()});
    } else if (kind == "pieces") {
        crowd.connect(address, Count, {piecesWithoutEnd()});
    } else if (kind == "heads") {
        crowd.connect(address, Count, {std::make_shared<const std::string>(OpenHead + "X-Long: " + std::string(FrameBytes, 'h'))});
    } else {
        crowd.connect(address, Count, {bodyThatStops(OpenHead, FrameBytes, MissingBytes)});
    }
    daemon.check(address);
}
