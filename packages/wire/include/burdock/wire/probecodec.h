#pragma once

#include <burdock/values/probe.h>
#include <burdock/wire/datagramsocket.h>

#include <cstdint>
#include <functional>
#include <string>

namespace Burdock
{

/// Encodes a probe as one CBOR array, see docs/notes/membership.md.
std::string encodeProbe(const ProbeMessage &message);

/// Decodes a datagram; BadRequest for anything but one well-formed probe within its bounds.
Result<ProbeMessage> decodeProbe(const std::string &datagram);

/// What a ProbeChannel has counted.
struct ProbeChannelCounters
{
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    std::uint64_t receivedBytes = 0;
    /// Datagrams that were no probe.
    std::uint64_t malformed = 0;
    /// Probes that were too large to send.
    std::uint64_t oversize = 0;
};

/// Sends and receives probes over a datagram socket.
class ProbeChannel final : public ProbePort
{
public:
    using Handler = std::function<void(const Address &from, const ProbeMessage &message)>;

    /// Takes over the socket's handler.
    explicit ProbeChannel(DatagramSocket &socket);
    ~ProbeChannel() override;
    ProbeChannel(const ProbeChannel &) = delete;
    ProbeChannel &operator=(const ProbeChannel &) = delete;

    /// Gets every well-formed probe.
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
