#pragma once

#include <burdock/wire/eventloop.h>

#include <functional>

struct bufferevent;

namespace Burdock
{

/// Ends this side of a connection, then reads and discards until the client closes or a time is up.
/// A connection closed with bytes unread would be reset, and its client might never see the answer.
class LingeringClose
{
public:
    /// Takes over a bufferevent with nothing left to write. `done` is called from the loop; it destroys this object.
    LingeringClose(EventLoop &loop, bufferevent *stream, std::function<void()> done);
    ~LingeringClose();
    LingeringClose(const LingeringClose &) = delete;
    LingeringClose &operator=(const LingeringClose &) = delete;

private:
    static void onRead(bufferevent *stream, void *context);
    static void onEvent(bufferevent *stream, short events, void *context);
    void end();

    EventLoop &loop_;
    bufferevent *stream_;
    std::function<void()> done_;
    TimerId timer_;
};

} // namespace Burdock
