#pragma once

#include <burdock/routing/passonterms.h>
#include <burdock/routing/servertable.h>
#include <burdock/values/failure.h>
#include <burdock/values/sharedtext.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Burdock
{

/// A client's request. Header names are in lower case; hop-by-hop headers are removed.
struct ClientRequest
{
    /// The request id that the client sent for this attempt.
    std::string id;
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers;
    /// All attempts share it.
    SharedText body;
    TimePoint arrived{};
    /// How long the client waits for the answer, in microseconds; unset if the client does not state it.
    std::optional<Duration> clientTimeout;
    /// Set if another instance passed the request on to this one.
    std::optional<PassOnTerms> passedOn{};
    /// The key that the client sent; empty if it sent none, and once its workspace has been looked up. A secret: never logged or sent on.
    std::string key{};
    /// The name of the client's workspace, which servers get; empty if the request needs none.
    std::string workspace{};
    /// The version of the configuration by which the workspace was found.
    std::int64_t workspaceConfig = 0;
};

/// A complete response of a backend server.
struct ServerReply
{
    int status = 0;
    /// The server's signature of this response; empty if there is none.
    std::string signature;
    std::map<std::string, std::string> headers;
    SharedText body;

    bool succeeded() const
    {
        constexpr int FirstSuccess = 200;
        constexpr int FirstRedirect = 300;
        return status >= FirstSuccess && status < FirstRedirect;
    }
};

/// Identifies a request in flight at a server; never zero.
using BackendRequestId = std::uint64_t;

/// Sends requests to servers.
///
/// A failure has the verdict NotRun if the server reported that or if nothing was sent. Its code is Unavailable if nothing was sent
/// since there was no connection, ConnectionLost if the connection broke later or the response is malformed, DeadlineExceeded if
/// the time is over, Overloaded or NotFound if the server responded that it did not run the request. The callback is never called from within `send`.
class BackendRequests
{
public:
    virtual ~BackendRequests() = default;

    using Callback = std::function<void(Result<ServerReply>)>;

    /// Sends the request; the server gets the time left until the deadline as its timeout.
    virtual BackendRequestId send(const ServerHandle &server, const std::shared_ptr<const ClientRequest> &request, TimePoint deadline, Callback done) = 0;

    /// Cancels a request by closing its connection; its callback is not called.
    virtual void cancel(BackendRequestId id) = 0;

    /// Whether there are connections for so many more requests at once.
    virtual bool hasRoom(std::size_t /*requests*/) const
    {
        return true;
    }
};

} // namespace Burdock
