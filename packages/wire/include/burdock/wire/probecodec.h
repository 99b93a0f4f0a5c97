#pragma once

#include <burdock/values/probe.h>
#include <burdock/wire/datagramsocket.h>

#include <cstdint>
#include <functional>
#include <string>

namespace Burdock
{

/// Encodes a probe as one CBOR array; docs/notes/membership.md describes its fields.
std::string encodeProbe(const ProbeMessage &message);

/// Decodes a datagram. TooLarge for a datagram over ProbeDatagramBytes, BadRequest for anything else but one well-formed probe
/// within its limits.
Result<ProbeMessage> decodeProbe(const std::string &datagram);

/// Event counts of a ProbeChannel.
struct ProbeChannelCounters
{
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    std::uint64_t receivedBytes = 0;
    /// Datagrams that could not be decoded.
    std::uint64_t malformed = 0;
    /// Probes that were not sent because they exceeded ProbeDatagramBytes.
    std::uint64_t oversize = 0;
};

/// Sends and receives probes over a datagram socket.
class ProbeChannel final : public ProbePort
{
public:
    using Handler = std::function<void(const Address &from, const ProbeMessage &message)>;

    /// Replaces the socket's handler. The socket must outlive the channel.
    explicit ProbeChannel(DatagramSocket &socket);
    ~ProbeChannel() override;
    ProbeChannel(const ProbeChannel &) = delete;
    ProbeChannel &operator=(const ProbeChannel &) = delete;

    /// Sets the function that is called for each well-formed probe.
    void setHandler(Handler handler);

    void send(const Address &to, const ProbeMessage &message) override;

    const ProbeChannelCounters &counters() const;

private:
    void receive(const Address &from, const std::string &datagram);

    DatagramSocket &socket_;
    Handler handler_;
    ProbeChannelCounters counters_;
};

} // namespace Burdock
