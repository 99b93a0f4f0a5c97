#pragma once

#include <burdock/wire/peerlinks.h>

#include <utility>
#include <vector>

namespace Burdock
{

/// Records all sent messages. Sending to the peer `gone` fails.
class RecordingLinks final : public PeerLinks
{
public:
    Result<Address> listen(const Address &address) override
    {
        return address;
    }
    void setHandlers(MessageHandler, LostHandler) override
    {
    }
    void setPeer(const InstanceId &, const Address &) override
    {
    }
    void removePeer(const InstanceId &) override
    {
    }
    bool send(const InstanceId &peer, PeerMessage message) override
    {
        sent.emplace_back(peer, std::move(message));
        return peer != InstanceId("gone");
    }
    std::uint32_t openLinks() const override
    {
        return 0;
    }
    const PeerLinkCounters &counters() const override
    {
        return counters_;
    }

    std::vector<std::pair<InstanceId, PeerMessage>> sent;

private:
    PeerLinkCounters counters_;
};

} // namespace Burdock
