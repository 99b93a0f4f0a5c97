#pragma once

#include "httprequestparser.h"
#include "transferprogress.h"

#include <burdock/wire/eventloop.h>
#include <burdock/wire/httpserver.h>
#include <burdock/wire/memorybudget.h>

#include <memory>
#include <unordered_map>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace Burdock
{

class LingeringClose;
class ServerConnection;

/// State that is shared by the connections of one server.
struct ServerContext
{
    ServerContext(EventLoop &eventLoop, const HttpServerLimits &serverLimits, std::shared_ptr<MemoryBudget> memoryBudget);
    ~ServerContext();
    ServerContext(const ServerContext &) = delete;
    ServerContext &operator=(const ServerContext &) = delete;

    /// Returns whether a connection is closed after its next response.
    bool closesAfterAnswers() const;

    EventLoop &loop;
    HttpServerLimits limits;
    std::shared_ptr<MemoryBudget> memory;
    /// Owned jointly with the responders, which may outlive the server.
    std::shared_ptr<HttpServerCounters> counters = std::make_shared<HttpServerCounters>();
    HttpServer::Handler handler;
    /// The response to a request whose handling threw.
    HttpServerResponse failureResponse;
    bool closing = false;
    /// Clients wait for a connection until this time, so that responses close theirs.
    TimePoint crowdedUntil{};
    std::uint32_t inFlight = 0;
    std::unordered_map<const MemoryBudget::Holder *, std::unique_ptr<ServerConnection>> connections;
    std::unordered_map<const LingeringClose *, std::unique_ptr<LingeringClose>> lingering;
};

/// The responder of one request. Refers to its connection until the response is complete or the connection is closed.
class HttpExchange final : public HttpResponder, public GuardedWork
{
public:
    HttpExchange(ServerConnection &connection, std::shared_ptr<HttpServerCounters> counters);

    void respond(HttpServerResponse answer) override;
    void sendChunk(const std::string &chunk) override;
    void finish() override;
    void setDisconnectHandler(std::function<void()> handler) override;

    /// Answers with the server's response to a failure, since the code that handles the request threw, and ends what it has started.
    void fail(const std::string &reason) override;

    /// Marks the response as complete; later ones are dropped.
    void complete();

    /// Calls the disconnect handler once, after the client has disconnected.
    void onClientDisconnected();

private:
    ServerConnection *connection_;
    std::shared_ptr<HttpServerCounters> counters_;
    std::function<void()> disconnectHandler_;
};

/// The connection of one client, from the first byte of each request to the last byte of its response.
///
/// Requests are passed to the handler one at a time. The connection is still read while a request is handled, so that a
/// disconnect is detected. The bytes of further requests stay in the input buffer, up to twice the limit of a header.
///
/// What the connection holds is taken from the budget: the request that arrives, the head of the one in progress, and the response that
/// the client has not read.
class ServerConnection final : public MemoryBudget::Holder
{
public:
    ServerConnection(ServerContext &context, int socket);
    ~ServerConnection() override;
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    void answer(const HttpServerResponse &answer);
    void sendChunk(const std::string &chunk);
    void finish();

    /// Answers the request in progress, whose handling threw; a response that has begun is broken off.
    void fail();

    /// Closes the connection if it is idle, receives a request or cannot write for longer than the limits allow.
    void closeIfOverdue(TimePoint now);

    /// Closes the connection unless a request is being received or handled, or output is pending. Returns whether it did, which ends
    /// the life of this object.
    bool closeIfIdle();

    /// How long the connection has been idle; zero if it is not.
    Duration idleTime(TimePoint now) const;

    bool holdsMemory() const
    {
        return held_.bytes() > 0;
    }
    MemoryUse memoryUse(TimePoint now) override;
    void pauseReading(TimePoint now) override;
    void resumeReading() override;
    void closeForMemory() override;

private:
    enum class State {
        Idle,
        ReceivingRequest,
        HandlingRequest,
        /// The last response is being written; further input is discarded.
        Closing,
    };

    static void onRead(bufferevent *stream, void *context);
    static void onWritten(bufferevent *stream, void *context);
    static void onEvent(bufferevent *stream, short events, void *context);
    static void onOutput(evbuffer *buffer, const evbuffer_cb_info *info, void *context);

    void setState(State state);
    /// Runs a callback's action; if it throws, the connection is closed.
    template<class Action>
    void guard(const Action &action);
    void handleInput();
    void handleWritten();
    void handleEvent(short events);
    bool canParse() const;
    void parse();
    void dispatchRequest();
    void sendError(int status);
    /// Refuses the request that arrives for lack of memory. It has not run.
    void refuse();
    /// Writes a response that is the last on this connection.
    void sendLast(int status, const std::map<std::string, std::string> &headers);
    /// Takes from the budget what the connection holds now, or gives back what it no longer holds.
    void updateHeld();
    /// Whether a response of so many bytes has to be dropped since there is no room for it.
    bool mustDrop(std::size_t bytes) const;
    /// Drops the response and ends the connection, which promises nothing.
    void dropAnswer();
    void onAnswerComplete();
    void write(const std::string &bytes);
    void discardInput();
    void onClientDisconnected();
    void closeLingering();
    void close();
    std::size_t backlog() const;

    ServerContext &context_;
    bufferevent *stream_;
    HttpRequestParser parser_;
    std::shared_ptr<HttpExchange> exchange_;
    State state_ = State::Idle;
    TimePoint stateSince_;
    TimePoint lastWriteProgress_;
    MemoryHold held_;
    /// The head of the request in progress. Its body is in the budget by itself.
    std::size_t requestBytes_ = 0;
    /// Unparsed input as of the last callback.
    std::size_t inputBytes_ = 0;
    TransferProgress progress_;
    TimePoint pausedAt_{};
    bool paused_ = false;
    bool inHandler_ = false;
    bool isHeadRequest_ = false;
    bool chunked_ = false;
    bool closeAfterAnswer_ = false;
};

} // namespace Burdock
