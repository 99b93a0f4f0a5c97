#pragma once

#include "httprequestparser.h"

#include <burdock/wire/eventloop.h>
#include <burdock/wire/httpserver.h>

#include <memory>
#include <unordered_map>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace Burdock
{

class LingeringClose;
class ServerConnection;

/// What the connections of one server share.
struct ServerContext
{
    explicit ServerContext(EventLoop &eventLoop, const HttpServerLimits &serverLimits);
    ~ServerContext();
    ServerContext(const ServerContext &) = delete;
    ServerContext &operator=(const ServerContext &) = delete;

    EventLoop &loop;
    HttpServerLimits limits;
    /// Shared with responders, which may outlive the server.
    std::shared_ptr<HttpServerCounters> counters = std::make_shared<HttpServerCounters>();
    HttpServer::Handler handler;
    bool closing = false;
    std::uint32_t inFlight = 0;
    std::unordered_map<const ServerConnection *, std::unique_ptr<ServerConnection>> connections;
    std::unordered_map<const LingeringClose *, std::unique_ptr<LingeringClose>> lingering;
};

/// The responder of one request. Holds on to its connection until one of them is done.
class HttpExchange final : public HttpResponder
{
public:
    HttpExchange(ServerConnection &connection, std::shared_ptr<HttpServerCounters> counters);

    void respond(HttpOutgoing answer) override;
    void sendChunk(const std::string &piece) override;
    void finish() override;
    void onGone(std::function<void()> gone) override;

    /// The answer is complete: later ones are dropped.
    void complete();

    /// The client went away: tells the handler, once.
    void clientGone();

private:
    ServerConnection *connection_;
    std::shared_ptr<HttpServerCounters> counters_;
    std::function<void()> gone_;
};

/// One client's connection: follows a request from its first byte to the last byte of its answer.
///
/// Requests are handed over one at a time. While one is worked on the connection is still read, so that a client
/// that goes away is noticed; the bytes of further requests wait in the buffer, up to the limits.
class ServerConnection
{
public:
    ServerConnection(ServerContext &context, int socket);
    ~ServerConnection();
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    void answer(const HttpOutgoing &answer);
    void sendChunk(const std::string &piece);
    void finish();

    /// Closes the connection if it has been in its state, or its client not reading, for too long.
    void closeIfOverdue(TimePoint now);

    /// Closes the connection if no request has begun to arrive.
    void closeIfIdle();

private:
    enum class State {
        Idle,
        Receiving,
        Working,
        /// The last answer is on its way out; what still comes in is discarded.
        Closing,
    };

    static void onRead(bufferevent *stream, void *context);
    static void onWritten(bufferevent *stream, void *context);
    static void onEvent(bufferevent *stream, short events, void *context);
    static void onOutput(evbuffer *buffer, const evbuffer_cb_info *info, void *context);

    void enter(State state);
    void readOn();
    bool mayParse() const;
    void parse();
    void work();
    void refuse(int status);
    void answered();
    void write(const std::string &bytes);
    void discardInput();
    void clientGone();
    void linger();
    void close();
    std::size_t backlog() const;

    ServerContext &context_;
    bufferevent *stream_;
    HttpRequestParser parser_;
    std::shared_ptr<HttpExchange> exchange_;
    State state_ = State::Idle;
    TimePoint since_;
    TimePoint written_;
    bool inHandler_ = false;
    bool headOnly_ = false;
    bool chunked_ = false;
    bool lastAnswer_ = false;
};

} // namespace Burdock
