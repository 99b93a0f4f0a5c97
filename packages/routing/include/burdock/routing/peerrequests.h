#pragma once

#include <burdock/routing/backendrequests.h>
#include <burdock/routing/clientanswer.h>
#include <burdock/values/address.h>
#include <burdock/values/names.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace Burdock
{

/// Another instance, and the address at which it serves other instances.
struct Peer
{
    InstanceId id;
    Address address;

    auto fields() const
    {
        return std::tie(id, address);
    }
};

/// A peer's answer to a request that was passed on to it.
struct PeerReply
{
    ClientAnswer answer;
    /// The version of the configuration that the peer has in force.
    std::int64_t configVersion = 0;
};

/// Identifies a request in flight at a peer; never zero.
using PeerRequestId = std::uint64_t;

/// Passes requests on to other instances.
///
/// A failure has the verdict NotRun if the request certainly did not reach the peer. Callbacks are never called from within `send`.
class PeerRequests
{
public:
    virtual ~PeerRequests() = default;

    using Callback = std::function<void(Result<PeerReply>)>;

    virtual PeerRequestId
    send(const Peer &peer, const std::shared_ptr<const ClientRequest> &request, const PassOnTerms &terms, TimePoint deadline, Callback done) = 0;

    /// Cancels a request by closing its connection, upon which the peer ends its work on it; its callback is not called.
    virtual void cancel(PeerRequestId id) = 0;

    /// Reads the configuration that the peer has in force, since it is newer than the own one.
    virtual void fetchConfig(const Peer &peer) = 0;
};

} // namespace Burdock
