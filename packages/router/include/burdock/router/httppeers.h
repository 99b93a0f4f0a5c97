#pragma once

#include <burdock/router/headernames.h>
#include <burdock/routing/peerrequests.h>
#include <burdock/wire/httpclient.h>

#include <functional>

namespace Burdock
{

/// Passes requests on to other instances over HTTP. The request stays as the client sent it, except for the time left and the headers
/// of PassOnHeaders.
class HttpPeers final : public PeerRequests
{
public:
    /// Called with a peer whose configuration is newer.
    using NewerConfigHandler = std::function<void(const Peer &)>;

    HttpPeers(Runtime &runtime, HttpClient &client, HeaderNames names, InstanceId self, NewerConfigHandler onNewerConfig);

    PeerRequestId
    send(const Peer &peer, const std::shared_ptr<const ClientRequest> &request, const PassOnTerms &terms, TimePoint deadline, Callback done) override;
    void cancel(PeerRequestId id) override;
    void fetchConfig(const Peer &peer) override;

    /// The connections to one peer: more than requests that are passed on to it at a time, so that other messages never wait behind them.
    static const ConnectionLimits Connections;

private:
    Runtime &runtime_;
    HttpClient &client_;
    const HeaderNames names_;
    const InstanceId self_;
    const NewerConfigHandler onNewerConfig_;
};

} // namespace Burdock
