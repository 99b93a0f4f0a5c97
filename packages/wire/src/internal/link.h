#pragma once

#include <burdock/values/address.h>
#include <burdock/wire/eventloop.h>

#include <memory>
#include <string>

struct bufferevent;

namespace Burdock
{

class Link;
struct WebSocketEndpoints;

/// How a link came to its end.
enum class LinkEnd {
    /// The connection was refused, cut, or never came up.
    Lost,
    /// The peer closed it as one of two; nothing is lost.
    Spare,
    /// A frame over the limit.
    Oversize,
    /// Bytes that are not WebSocket, or a message that is not binary.
    Malformed,
    /// Closed by this side, after everything was written.
    Flushed,
};

/// Told of all that happens on links. Must not destroy a link from within its own call.
class LinkOwner
{
public:
    virtual ~LinkOwner() = default;

    /// The WebSocket is up: frames can be sent.
    virtual void opened(Link &link) = 0;
    virtual void received(Link &link, const std::string &frame) = 0;
    /// The backlog has fallen low.
    virtual void writable(Link &link) = 0;
    /// The last word of a link.
    virtual void ended(Link &link, LinkEnd end) = 0;
};

/// One WebSocket connection: websocketpp's iostream transport over a libevent buffer.
class Link
{
public:
    /// Dials an address.
    Link(EventLoop &loop, WebSocketEndpoints &endpoints, LinkOwner &owner, const Address &address);
    /// Takes over an accepted socket.
    Link(EventLoop &loop, WebSocketEndpoints &endpoints, LinkOwner &owner, int socket);
    ~Link();
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    /// Starts to connect, or to wait for the peer's handshake. May report the end at once.
    void start();

    /// Queues one frame. Only between `opened` and `ended` or a close.
    void send(const std::string &frame);

    /// Bytes that wait for the socket.
    std::size_t backlog() const;

    /// Writes what waits and closes; `spare` tells the peer that another link stays. Ends as Flushed.
    void closeAfterFlush(bool spare);

    /// Tries once to hand what waits to the kernel; for a process that is about to exit.
    void flushNow();

    /// When a byte last came or went.
    TimePoint lastActivity() const
    {
        return lastActivity_;
    }

private:
    class Private;

    static void onRead(bufferevent *stream, void *context);
    static void onWritten(bufferevent *stream, void *context);
    static void onEvent(bufferevent *stream, short events, void *context);

    void startWebSocket();
    void end(LinkEnd end);

    EventLoop &loop_;
    LinkOwner &owner_;
    std::unique_ptr<Private> d_;
    TimePoint lastActivity_;
};

} // namespace Burdock
