#pragma once

#include <burdock/wire/httpserver.h>

#include <burdock/wire/eventloop.h>

#include <evhtp.h>
#include <memory>
#include <unordered_map>

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
    const HttpServerLimits limits;
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
/// libevhtp stops reading a connection whose request is paused, and then it cannot see the client go.
/// So reading is switched on again for the time of the pause: libevhtp leaves the bytes of further
/// requests in the buffer, up to the limits, and reports the end of the connection.
class ServerConnection
{
public:
    ServerConnection(ServerContext &context, evhtp_connection_t *connection);
    ~ServerConnection();
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    /// The connection that a request came on.
    static ServerConnection &of(const evhtp_request_t *request);

    /// libevhtp's side of the connection.
    evhtp_connection_t *handle() const
    {
        return connection_;
    }

    /// Hands a whole request to the handler.
    void work(evhtp_request_t *request);

    void answer(HttpOutgoing answer);
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
    };

    static evhtp_res onEvent(evhtp_connection_t *connection, short events, void *context);
    static evhtp_res onHeader(evhtp_request_t *request, evhtp_header_t *header, void *context);
    static evhtp_res onHeaders(evhtp_request_t *request, evhtp_headers_t *headers, void *context);
    static evhtp_res onBody(evhtp_request_t *request, evbuffer *piece, void *context);
    static evhtp_res onWritten(evhtp_connection_t *connection, void *context);
    static evhtp_res onClosed(evhtp_connection_t *connection, void *context);
    static void onInput(evbuffer *buffer, const evbuffer_cb_info *info, void *context);
    static void onOutput(evbuffer *buffer, const evbuffer_cb_info *info, void *context);

    void installHooks();
    void enter(State state);
    void prepareHeaders(std::map<std::string, std::string> headers);
    void answered();
    void nextTurn(void (ServerConnection::*step)());
    void watchClient();
    void resume();
    void close();
    bool outputEmpty() const;
    evhtp_res refuse(int status);
    void handOver();

    ServerContext &context_;
    evhtp_connection_t *connection_;
    evhtp_request_t *request_ = nullptr;
    std::shared_ptr<HttpExchange> exchange_;
    State state_ = State::Idle;
    TimePoint since_;
    TimePoint written_;
    TimerId turn_ = 0;
    std::size_t headerBytes_ = 0;
    std::size_t bodyBytes_ = 0;
    int refusal_ = 0;
    bool paused_ = false;
    bool chunked_ = false;
    bool lastAnswer_ = false;
    bool broken_ = false;
};

} // namespace Burdock
