#pragma once

#include <burdock/wire/eventloop.h>
#include <burdock/wire/httpclient.h>

#include <event2/http.h>
#include <optional>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace Burdock
{

/// One request on its way through the client.
struct HttpCall
{
    HttpCallId id = 0;
    HttpRequest request;
    HttpClient::Callback done;
    TimerId timer = 0;
};

/// One persistent connection: carries one call at a time. It never sends a request twice.
class ClientConnection
{
public:
    /// Told how a call ended, and of a connection that closed while idle.
    struct Events
    {
        std::function<void(HttpCallId, Result<HttpResponse>)> onDone;
        std::function<void()> onIdleClose;
    };

    ClientConnection(EventLoop &loop, const Address &address, Events events);
    ~ClientConnection();
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    /// Starts a call on an unused connection; a failure means that nothing was sent. `bodyLimit` in bytes.
    /// The call must stay where it is until it is done or abandoned.
    tl::expected<void, Failure> start(const HttpCall &call, std::size_t bodyLimit);

    /// Forgets the call in progress; the connection is of no more use.
    void abandon();

    /// Marks an unused connection as of no more use.
    void retire();

    /// On an unused connection: true where its end, or bytes that nobody asked for, wait to be read.
    bool endedByPeer() const;

    /// On an unused connection: true where the server may be about to close it.
    bool outlived() const;

    bool busy() const
    {
        return call_ != nullptr;
    }

    /// True once it must not carry another call.
    bool closed() const
    {
        return closed_;
    }

    /// True once a byte of the call in progress has left.
    bool written() const
    {
        return written_;
    }

    const Address &address() const
    {
        return address_;
    }

private:
    static void onOutput(evbuffer *buffer, const evbuffer_cb_info *info, void *context);
    static void onResponse(evhttp_request *request, void *context);
    static void onPiece(evhttp_request *request, void *context);
    static void onError(evhttp_request_error error, void *context);
    static void onClose(evhttp_connection *connection, void *context);

    evhttp_request *makeRequest();
    void finish(Result<HttpResponse> result);
    Failure brokenFailure() const;
    HttpResponse readResponse(evhttp_request *request);
    void noteKeepAlive(const HttpResponse &response);

    EventLoop &loop_;
    const Address address_;
    Events events_;
    bufferevent *stream_;
    evhttp_connection *connection_;
    const HttpCall *call_ = nullptr;
    std::string refusedPieces_;
    evhttp_request_error error_ = EVREQ_HTTP_EOF;
    /// Until when the server keeps the idle connection, where it says so.
    std::optional<TimePoint> usableUntil_;
    bool written_ = false;
    bool closed_ = false;
};

} // namespace Burdock
