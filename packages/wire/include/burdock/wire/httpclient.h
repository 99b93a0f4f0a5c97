#pragma once

#include <burdock/values/address.h>
#include <burdock/values/runtime.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Burdock
{

/// Names one call of an HttpClient; never zero, never used again.
using HttpCallId = std::uint64_t;

/// A request to one address.
struct HttpRequest
{
    Address address;
    /// A method of RFC 9110 but CONNECT, or PATCH.
    std::string method;
    /// The request target: path and query.
    std::string path;
    /// `host` may name another host than the address.
    std::map<std::string, std::string> headers;
    std::string body;
    /// After this the call fails with DeadlineExceeded and its connection is closed.
    Duration timeout{0};
    /// Where set, gets the body of a 200 answer piece by piece as it arrives; the response's body stays empty then.
    std::function<void(const std::string &)> onPiece;
    /// Where set, tells whether a response answers this request. One that does not ends its connection, and the call fails with
    /// ConnectionLost.
    std::function<bool(const struct HttpResponse &)> accept{};
};

/// A whole response. Header names are in lower case; the values of a repeated header are joined by commas.
struct HttpResponse
{
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// How many connections the client may hold to one address.
struct ConnectionLimits
{
    std::uint32_t connections = 1;
    /// Idle connections above this many are closed.
    std::uint32_t idle = 1;
    /// A response larger than this many bytes breaks its connection.
    std::size_t responseBytes = 0;
};

/// Sends requests over persistent connections, at most one request at a time on each.
///
/// A failure's verdict says whether the request may have run: NotRun while nothing was written,
/// MayHaveRun once any byte was. A request is never repeated by the client itself, also not on a
/// persistent connection that turns out closed. Callbacks are never called from within `send`.
class HttpClient
{
public:
    virtual ~HttpClient() = default;

    using Callback = std::function<void(Result<HttpResponse>)>;

    /// Sends the request, or queues it while all connections to the address are in use.
    virtual HttpCallId send(HttpRequest request, Callback done) = 0;

    /// Gives up a call: its callback is not called, and its connection is closed if it was in use.
    virtual void cancel(HttpCallId call) = 0;

    /// Sets the limits of one address; open connections above them are closed as they fall idle.
    virtual void setLimits(const Address &address, const ConnectionLimits &limits) = 0;

    /// Closes all connections that are not in use, to every address.
    virtual void closeIdle() = 0;

    /// How many connections are open to the address.
    virtual std::uint32_t openConnections(const Address &address) const = 0;
};

} // namespace Burdock
