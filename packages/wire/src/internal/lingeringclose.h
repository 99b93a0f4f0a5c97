#pragma once

#include <burdock/wire/eventloop.h>

#include <functional>

struct bufferevent;

namespace Burdock
{

/// Shuts down the sending side of a connection, then discards input until the client closes it or a timeout passes.
/// Closing a connection with unread bytes resets it, and the client might not receive the response.
class LingeringClose
{
public:
    /// Takes ownership of a bufferevent with an empty output buffer. `done` is called from the event loop and destroys this
    /// object.
    LingeringClose(EventLoop &loop, bufferevent *stream, std::function<void()> done);
    ~LingeringClose();
    LingeringClose(const LingeringClose &) = delete;
    LingeringClose &operator=(const LingeringClose &) = delete;

private:
    static void onRead(bufferevent *stream, void *context);
    static void onEvent(bufferevent *stream, short events, void *context);
    void finish();

    EventLoop &loop_;
    bufferevent *stream_;
    std::function<void()> done_;
    TimerId timer_;
};

} // namespace Burdock
