#pragma once

#include "responsehead.h"

#include <burdock/wire/eventloop.h>
#include <burdock/wire/httpclient.h>
#include <burdock/wire/memorybudget.h>

#include <event2/http.h>
#include <memory>
#include <optional>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace Burdock
{

/// A request that was passed to the client and has not finished.
struct HttpCall
{
    HttpCallId id = 0;
    HttpRequest request;
    HttpClient::Callback done;
    TimerId timer = 0;
    /// The work that made the call.
    std::weak_ptr<GuardedWork> work;
};

/// A persistent connection that carries one call at a time. It never sends a request twice.
class ClientConnection
{
public:
    /// Callbacks for the result of a call and for a connection that was closed while idle.
    struct Events
    {
        std::function<void(HttpCallId, Result<HttpResponse>)> onDone;
        std::function<void()> onIdleClose;
    };

    ClientConnection(EventLoop &loop, const Address &address, std::shared_ptr<MemoryBudget> memory, Events events);
    ~ClientConnection();
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    /// Starts a call on an idle connection. Fails with BadRequest or Unavailable, and then nothing was sent. `bodyLimit` is in
    /// bytes. The call must stay at its address until it has finished or was abandoned.
    tl::expected<void, Failure> start(const HttpCall &call, std::size_t bodyLimit);

    /// Drops the call in progress without a callback and closes the connection, within one of its own callbacks a little later.
    /// Nothing more of the call is sent from then on, not even what the kernel has not sent yet.
    void abandon();

    /// Prevents further calls on an idle connection.
    void markClosed();

    /// Whether the socket has an end of file, an error or unsolicited bytes to read. For an idle connection.
    bool hasPendingInput() const;

    /// Whether the server's keep-alive time has nearly passed, so that it may close the idle connection.
    bool isKeepAliveExpired() const;

    bool isBusy() const
    {
        return call_ != nullptr;
    }

    /// Whether the connection must not carry another call.
    bool isClosed() const
    {
        return closed_;
    }

    /// Whether any byte of the call in progress was written.
    bool hasWritten() const
    {
        return written_;
    }

    const Address &address() const
    {
        return address_;
    }

private:
    /// Notes that a callback of the connection is running.
    class CallbackScope;

    /// Frees libevent's connection, which closes the socket.
    void release();
    static void onOutput(evbuffer *buffer, const evbuffer_cb_info *info, void *context);
    static void onInput(evbuffer *buffer, const evbuffer_cb_info *info, void *context);
    static void onResponse(evhttp_request *request, void *context);
    static void onBodyChunk(evhttp_request *request, void *context);
    static void onError(evhttp_request_error error, void *context);
    static void onClose(evhttp_connection *connection, void *context);

    evhttp_request *makeRequest();
    /// Takes from the budget what arrived for the call in progress. A long response for which there is no room fails.
    void takeReceived(std::size_t bytes);
    void readHead(evbuffer *buffer);
    void handleResponse(evhttp_request *request);
    void handleBodyChunk(evhttp_request *request);
    /// Ends the call in progress, if there still is one, since code that ran for it threw.
    void failCall();
    void finish(Result<HttpResponse> result);
    Failure connectionFailure() const;
    HttpResponse readResponse(evhttp_request *request);
    void updateKeepAlive(const HttpResponse &response);

    EventLoop &loop_;
    const Address address_;
    const std::shared_ptr<MemoryBudget> memory_;
    /// What has arrived of the response to the call in progress.
    MemoryHold received_;
    Events events_;
    bufferevent *stream_;
    evhttp_connection *connection_;
    /// The head of the response to the call in progress.
    ResponseHeadReader head_;
    bool readingHead_ = false;
    const HttpCall *call_ = nullptr;
    std::string errorBody_;
    evhttp_request_error error_ = EVREQ_HTTP_EOF;
    /// When the idle connection becomes unusable according to the server's Keep-Alive header.
    std::optional<TimePoint> usableUntil_;
    bool written_ = false;
    /// Whether a request is being made, during which libevent may call back.
    bool starting_ = false;
    bool closed_ = false;
    int runningCallbacks_ = 0;
};

} // namespace Burdock
