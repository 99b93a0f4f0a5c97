#include "internal/lingeringclose.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <utility>

namespace Burdock
{

namespace
{
constexpr Duration LingerTimeout = std::chrono::seconds(2);
}

LingeringClose::LingeringClose(EventLoop &loop, bufferevent *stream, std::function<void()> done)
    : loop_(loop)
    , stream_(stream)
    , done_(std::move(done))
    , timer_(loop.schedule(LingerTimeout, [this] { finish(); }))
{
    bufferevent_setcb(stream_, &LingeringClose::onRead, nullptr, &LingeringClose::onEvent, this);
    bufferevent_enable(stream_, EV_READ);
    shutdown(bufferevent_getfd(stream_), SHUT_WR);
}

LingeringClose::~LingeringClose()
{
    loop_.cancel(timer_);
    bufferevent_free(stream_);
}

void LingeringClose::onRead(bufferevent *stream, void *)
{
    evbuffer *input = bufferevent_get_input(stream);
    evbuffer_drain(input, evbuffer_get_length(input));
}

void LingeringClose::onEvent(bufferevent *, short, void *context)
{
    auto *self = static_cast<LingeringClose *>(context);
    self->loop_.boundary().run("close", [self] { self->finish(); });
}

void LingeringClose::finish()
{
    const auto done = std::move(done_);
    done();
}

} // namespace Burdock
