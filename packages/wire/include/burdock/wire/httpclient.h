#pragma once

#include <burdock/values/address.h>
#include <burdock/values/runtime.h>
#include <burdock/values/sharedtext.h>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace Burdock
{

/// Identifies one call of an HttpClient. Never zero and never reused.
using HttpCallId = std::uint64_t;

/// An HTTP request and the address to send it to.
struct HttpRequest
{
    Address address;
    /// PATCH, or any method of RFC 9110 except CONNECT.
    std::string method;
    /// The request target, consisting of path and query.
    std::string path;
    /// A `host` header may name another host than the address.
    std::map<std::string, std::string> headers;
    /// Sent without being copied.
    SharedText body;
    /// After this time the call fails with DeadlineExceeded and its connection is closed.
    Duration timeout{0};
    /// If set, receives the body of a 200 response in chunks as it arrives; the body of the response is then empty.
    std::function<void(const std::string &)> onBodyChunk;
    /// If set, decides whether a response belongs to this request. If it returns false, the connection is closed and the call
    /// fails with ConnectionLost.
    std::function<bool(const struct HttpResponse &)> isReplyToRequest{};
};

/// A complete response. Header names are in lower case; the values of a repeated header are joined by commas.
struct HttpResponse
{
    int status = 0;
    std::map<std::string, std::string> headers;
    /// In the client's account of memory until its last owner is gone.
    SharedText body;
    /// The names of the headers that the response has more than once.
    std::set<std::string> repeatedHeaders{};
};

/// The client's limits for one address.
struct ConnectionLimits
{
    std::uint32_t connections = 1;
    /// Idle connections in excess of this number are closed.
    std::uint32_t idle = 1;
    /// A response body over this many bytes closes the connection and fails the call. 0 selects 16 MiB.
    std::size_t responseBytes = 0;
};

/// Sends requests over persistent connections, at most one request at a time on each.
///
/// A failure's verdict says whether the request may have run: NotRun if nothing was written,
/// MayHaveRun once any byte was. The client never retries a request, not even when a persistent
/// connection turns out to be closed. Callbacks are never called from within `send`.
class HttpClient
{
public:
    virtual ~HttpClient() = default;

    using Callback = std::function<void(Result<HttpResponse>)>;

    /// Sends the request, or queues it while all connections to the address are in use.
    virtual HttpCallId send(HttpRequest request, Callback done) = 0;

    /// Cancels a call: its callback is not called, and its connection is closed if it was in use. Unknown ids are ignored.
    virtual void cancel(HttpCallId call) = 0;

    /// Sets the limits of one address. Open connections in excess of them are closed when they become idle.
    virtual void setLimits(const Address &address, const ConnectionLimits &limits) = 0;

    /// Sets a function that is called when a connect fails for lack of descriptors. If it returns true, it has closed one, and the call
    /// is tried once more.
    virtual void setShortageHandler(const std::function<bool()> & /*onShortage*/)
    {
    }

    /// Sets a function that returns how many connections may be open to all addresses together. At the limit an idle one is closed for
    /// a new one. Without it there is no such limit.
    virtual void setTotalLimit(const std::function<std::size_t()> & /*limit*/)
    {
    }

    /// Whether so many more calls may each have a connection.
    virtual bool hasRoom(std::size_t /*calls*/) const
    {
        return true;
    }

    /// Closes all idle connections to all addresses.
    virtual void closeIdle() = 0;

    /// Ends the calls to the address of which nothing was written, with the code Unavailable and the verdict NotRun.
    virtual void failUnsent(const Address &address) = 0;

    /// The number of open connections to the address.
    virtual std::uint32_t openConnections(const Address &address) const = 0;
};

} // namespace Burdock
