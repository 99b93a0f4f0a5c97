#include <burdock/router/httppeers.h>

#include <burdock/router/httpbackends.h>
#include <burdock/router/passonheaders.h>
#include <burdock/routing/peerchoice.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

const ConnectionLimits HttpPeers::Connections{PeerChoice::MaxInFlight + 8, 8, 0};

HttpPeers::HttpPeers(Runtime &runtime, HttpClient &client, HeaderNames names, InstanceId self, NewerConfigHandler onNewerConfig)
    : runtime_(runtime)
    , client_(client)
    , names_(std::move(names))
    , self_(std::move(self))
    , onNewerConfig_(std::move(onNewerConfig))
{
}

PeerRequestId
HttpPeers::send(const Peer &peer, const std::shared_ptr<const ClientRequest> &request, const PassOnTerms &terms, TimePoint deadline, Callback done)
{
    const Duration left = std::max(deadline - runtime_.now(), Duration{0});
    PassOnTerms fromSelf = terms;
    fromSelf.from = self_;
    HttpRequest out;
    out.address = peer.address;
    out.method = request->method;
    out.path = request->target;
    out.headers = request->headers;
    out.headers[names_.timeLeft] = std::to_string(left / std::chrono::milliseconds(1));
    PassOnHeaders::write(out.headers, fromSelf);
    if (!request->workspace.empty()) {
        // A peer of an earlier build sends the servers the headers that it gets.
        out.headers[names_.workspace] = request->workspace;
    }
    out.body = request->body;
    out.timeout = left;
    out.isReplyToRequest = [names = &names_, request](const HttpResponse &response) {
        return PassOnHeaders::areStatedOnce(response) && HttpBackends::answersRequest(*names, request->id, response);
    };
    client_.setLimits(peer.address, Connections);
    return client_.send(std::move(out),
                        [this, done = std::move(done)](Result<HttpResponse> response) { done(PassOnHeaders::readReply(names_, std::move(response))); });
}

void HttpPeers::cancel(PeerRequestId id)
{
    client_.cancel(id);
}

void HttpPeers::fetchConfig(const Peer &peer)
{
    onNewerConfig_(peer);
}

} // namespace Burdock
