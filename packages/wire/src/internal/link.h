#pragma once

#include "transferprogress.h"

#include <burdock/values/address.h>
#include <burdock/wire/eventloop.h>
#include <burdock/wire/memorybudget.h>

#include <functional>
#include <memory>
#include <string>

struct bufferevent;
struct evbuffer;

namespace Burdock
{

class Link;
struct WebSocketEndpoints;

/// The reason why a link ended.
enum class LinkEndReason {
    /// The connection was refused, broken or never established.
    Lost,
    /// The peer closed it as the redundant one of two links; no message is lost.
    Redundant,
    /// A frame exceeded the limit.
    Oversize,
    /// Invalid WebSocket data, or a message that is not binary.
    Malformed,
    /// Closed by this side after all output was written.
    Flushed,
};

/// Receives the events of links. Must not destroy a link from within one of its callbacks.
class LinkOwner
{
public:
    virtual ~LinkOwner() = default;

    /// The WebSocket handshake is complete and frames can be sent.
    virtual void onOpened(Link &link) = 0;
    /// A binary message was received.
    virtual void onFrame(Link &link, const std::string &frame) = 0;
    /// The output backlog has fallen below its low-water mark.
    virtual void onWritable(Link &link) = 0;
    /// The link has ended; no further event follows.
    virtual void onEnded(Link &link, LinkEndReason end) = 0;
};

/// A WebSocket connection that uses websocketpp's iostream transport over a libevent bufferevent.
///
/// What has arrived of a frame is in the budget. A link takes only a short frame until the peer has said who it is.
class Link final : public MemoryBudget::Holder
{
public:
    /// Creates a link that connects to an address.
    Link(EventLoop &loop, WebSocketEndpoints &endpoints, LinkOwner &owner, MemoryBudget &memory, const Address &address);
    /// Creates a link that takes ownership of an accepted socket.
    Link(EventLoop &loop, WebSocketEndpoints &endpoints, LinkOwner &owner, MemoryBudget &memory, int socket);
    ~Link() override;
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    /// Connects, or waits for the peer's handshake. May call `onEnded` synchronously.
    void start();

    /// Queues one frame. May be called only after `onOpened` and before `onEnded` or `closeAfterFlush`.
    void send(const std::string &frame);

    /// The number of queued bytes that were not yet written to the socket.
    std::size_t backlog() const;

    /// Writes the queued bytes, then closes the link with the reason Flushed. `redundant` informs the peer that another link
    /// stays open.
    void closeAfterFlush(bool redundant);

    /// Makes one attempt to write the queued bytes to the kernel. For a process that is about to exit.
    void tryFlush();

    /// Allows frames of full length from now on.
    void allowLongFrames();

    bool holdsMemory() const
    {
        return arrived_.bytes() > 0;
    }
    MemoryUse memoryUse(TimePoint now) override;
    void pauseReading(TimePoint now) override;
    void resumeReading() override;
    void closeForMemory() override;

    /// The last time that a byte was received or a frame was queued.
    TimePoint lastActivity() const
    {
        return lastActivity_;
    }

private:
    class Private;

    static void onRead(bufferevent *stream, void *context);
    static void onWritten(bufferevent *stream, void *context);
    static void onEvent(bufferevent *stream, short events, void *context);

    /// Runs the action; if it throws, the link ends.
    void guard(const std::function<void()> &action);
    void read(evbuffer *input);
    /// Takes from the budget what arrives; returns whether the link may go on.
    bool takeArrived(std::size_t bytes);
    void startWebSocket();
    void finish(LinkEndReason end);

    EventLoop &loop_;
    LinkOwner &owner_;
    MemoryBudget &memory_;
    /// What has arrived since the last whole frame.
    MemoryHold arrived_;
    TransferProgress progress_;
    TimePoint arrivingSince_{};
    TimePoint pausedAt_{};
    bool paused_ = false;
    std::unique_ptr<Private> d_;
    TimePoint lastActivity_;
};

} // namespace Burdock
