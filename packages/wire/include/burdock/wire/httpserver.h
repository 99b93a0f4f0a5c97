#pragma once

#include <burdock/values/address.h>
#include <burdock/values/runtime.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Burdock
{

/// A request as it arrived. Header names are in lower case; the values of a repeated header are joined by commas.
struct HttpIncoming
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
    /// The request target as the client wrote it: path and query.
    std::string target{};
};

/// What goes back to the client.
struct HttpOutgoing
{
    int status = 200;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Whether an answer without a content type is labelled as JSON.
    bool labelled = true;
};

/// Answers one request, once, now or later, from the loop.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    /// Sends the answer. A second answer, or one after the client went away, is dropped and counted.
    virtual void respond(HttpOutgoing answer) = 0;

    /// Sends one piece of a chunked answer; `respond` is not called then, `finish` ends it.
    virtual void sendChunk(const std::string &piece) = 0;

    /// Ends a chunked answer.
    virtual void finish() = 0;

    /// Calls `gone` once if the client goes away before the answer was sent.
    virtual void onGone(std::function<void()> gone) = 0;
};

/// The bounds on what clients may do.
struct HttpServerLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 1048576;
    std::uint32_t connections = 1000;
    /// A connection that has not sent a whole request this long after its first byte is closed.
    Duration requestTime = std::chrono::seconds(10);
    /// A connection without requests is closed after this long.
    Duration idleTime = std::chrono::seconds(60);
};

/// What the server has counted since it started.
struct HttpServerCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t refusedConnections = 0;
    std::uint64_t requests = 0;
    std::uint64_t badRequests = 0;
    std::uint64_t tooLarge = 0;
    std::uint64_t timedOut = 0;
    std::uint64_t droppedAnswers = 0;
};

/// An HTTP/1.1 server on the process's loop. Pipelined requests are answered in their order.
class HttpServer
{
public:
    virtual ~HttpServer() = default;

    using Handler = std::function<void(HttpIncoming, std::shared_ptr<HttpResponder>)>;

    /// Starts to listen. Port 0 takes a free one.
    virtual Result<Address> listen(const Address &address) = 0;

    /// The handler of all requests.
    virtual void setHandler(Handler handler) = 0;

    /// Changes the limits; those on the size of a request hold for connections accepted from now on.
    virtual void setLimits(const HttpServerLimits &limits) = 0;

    /// From now on every answer carries `Connection: close`; idle connections stay open.
    virtual void announceClose() = 0;

    /// From now on every answer carries `Connection: close`, and idle connections are closed.
    virtual void closeConnectionsAfterAnswers() = 0;

    /// Stops accepting new connections.
    virtual void stopAccepting() = 0;

    /// How many connections are open, and how many requests are not yet answered.
    virtual std::uint32_t openConnections() const = 0;
    virtual std::uint32_t requestsInFlight() const = 0;

    virtual const HttpServerCounters &counters() const = 0;
};

} // namespace Burdock
