#pragma once

#include <burdock/routing/servertable.h>
#include <burdock/values/failure.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Burdock
{

/// A client's request. Header names are in lower case; headers that concern one connection only are left out.
struct ClientRequest
{
    /// The client's id of this attempt.
    std::string id;
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;
    TimePoint arrived{};
    /// How long the client waits, where it says so.
    std::optional<Duration> clientTimeout;
};

/// A server's whole answer.
struct ServerReply
{
    int status = 0;
    /// The server's signature of this answer; empty where it gave none.
    std::string signature;
    std::map<std::string, std::string> headers;
    std::string body;

    bool succeeded() const
    {
        constexpr int FirstSuccess = 200;
        constexpr int FirstRedirect = 300;
        return status >= FirstSuccess && status < FirstRedirect;
    }
};

/// Names one request under way at a server; never zero.
using BackendRequestId = std::uint64_t;

/// Sends requests to servers.
///
/// A failure's verdict is NotRun where the server said so or nothing was sent. Answers that are no proper answer to the
/// request come as ConnectionLost. The callback is never called from within `send`.
class BackendRequests
{
public:
    virtual ~BackendRequests() = default;

    using Callback = std::function<void(Result<ServerReply>)>;

    /// Sends the request, with what is left until the deadline as the server's time.
    virtual BackendRequestId send(const ServerHandle &server, const std::shared_ptr<const ClientRequest> &request, TimePoint deadline, Callback done) = 0;

    /// Gives a request up; its callback is not called, and the server sees the connection close.
    virtual void cancel(BackendRequestId id) = 0;
};

} // namespace Burdock
