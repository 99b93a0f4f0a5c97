#pragma once

#include <burdock/values/address.h>
#include <burdock/values/runtime.h>
#include <burdock/values/sharedtext.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Burdock
{

/// A received request. Header names are in lower case; the values of a repeated header are joined by commas.
struct HttpServerRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    /// In the server's account of memory until its last owner is gone.
    SharedText body;
    /// The request target as received, consisting of path and query.
    std::string target{};
};

/// A response to a client's request.
struct HttpServerResponse
{
    int status = 200;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Whether a response without a content type is sent as application/json.
    bool jsonByDefault = true;
};

/// Sends the response to one request. It may be used after the handler has returned, from the event loop's thread.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    /// Sends the response. A second response, or one after the client disconnected, is dropped and counted.
    virtual void respond(HttpServerResponse answer) = 0;

    /// Sends one chunk of a chunked response. Such a response is ended with `finish`, without a call of `respond`.
    virtual void sendChunk(const std::string &chunk) = 0;

    /// Ends a chunked response.
    virtual void finish() = 0;

    /// Sets a function that is called once if the client disconnects before the response was sent, or if the server has answered since
    /// the code that handles the request threw.
    virtual void setDisconnectHandler(std::function<void()> gone) = 0;
};

/// The limits on connections and requests.
struct HttpServerLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 1048576;
    /// At the limit, and for lack of descriptors, the connection that has been idle longest is closed for a new one, and responses
    /// carry `Connection: close`.
    std::uint32_t connections = 1000;
    /// So many connections are accepted also while the server's pool is full.
    std::uint32_t reserved = 0;
    /// Whether requests without a body are served also while the memory for others is exhausted.
    bool urgent = false;
    /// A connection is closed if a request is incomplete this long after its first byte.
    Duration requestTime = std::chrono::seconds(10);
    /// A connection without requests is closed after this time.
    Duration idleTime = std::chrono::seconds(60);
};

/// Event counts since the server started.
struct HttpServerCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t refusedConnections = 0;
    std::uint64_t requests = 0;
    std::uint64_t badRequests = 0;
    std::uint64_t tooLarge = 0;
    std::uint64_t timedOut = 0;
    std::uint64_t droppedAnswers = 0;
    /// Attempts to accept connections that failed, as for lack of descriptors. The connections wait in the kernel.
    std::uint64_t failedAccepts = 0;
    /// Those of them for which descriptors or memory were lacking.
    std::uint64_t shortages = 0;
    /// Idle connections that were closed for a new one, at the limit or for lack of descriptors.
    std::uint64_t replacedConnections = 0;
};

/// An HTTP/1.1 server on the process's event loop. Pipelined requests are answered in order.
class HttpServer
{
public:
    virtual ~HttpServer() = default;

    using Handler = std::function<void(HttpServerRequest, std::shared_ptr<HttpResponder>)>;

    /// Starts to listen and returns the bound address; port 0 selects a free port. BadRequest for anything but an IP number and
    /// port, Unavailable if the address cannot be bound.
    virtual Result<Address> listen(const Address &address) = 0;

    /// Sets the function that is called for each request.
    virtual void setHandler(Handler handler) = 0;

    /// Sets the response to requests whose handling threw: such a request may have run. By default status 500 with the code `internal`.
    virtual void setFailureResponse(HttpServerResponse response) = 0;

    /// Changes the limits. New limits on the size of a request apply only to connections that are accepted afterwards.
    virtual void setLimits(const HttpServerLimits &limits) = 0;

    /// Adds `Connection: close` to all further responses; idle connections stay open.
    virtual void announceClose() = 0;

    /// Adds `Connection: close` to all further responses and closes idle connections.
    virtual void closeConnectionsAfterAnswers() = 0;

    /// Stops accepting new connections.
    virtual void stopAccepting() = 0;

    /// The number of open connections.
    virtual std::uint32_t openConnections() const = 0;

    /// The number of requests without a complete response.
    virtual std::uint32_t requestsInFlight() const = 0;

    virtual const HttpServerCounters &counters() const = 0;
};

} // namespace Burdock
