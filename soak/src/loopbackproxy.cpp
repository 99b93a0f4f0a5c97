#include "loopbackproxy.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <vector>

namespace Burdock
{

namespace
{

constexpr Duration LateBy = std::chrono::milliseconds(60);

sockaddr_in socketAddressOf(const Address &address)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &out.sin_addr);
    return out;
}

} // namespace

struct LoopbackProxy::Pipe
{
    LoopbackProxy *owner = nullptr;
    bufferevent *client = nullptr;
    bufferevent *server = nullptr;
    /// Once silenced, a connection stays silent.
    bool silenced = false;
    TimerId late = 0;
};

LoopbackProxy::LoopbackProxy(EventLoop &loop, const Address &target)
    : loop_(loop)
    , target_(target)
{
    const sockaddr_in any = socketAddressOf(Address{"127.0.0.1", 0});
    constexpr int Backlog = 128;
    listener_ = evconnlistener_new_bind(
        loop.base(), &LoopbackProxy::onAccept, this, LEV_OPT_CLOSE_ON_FREE, Backlog, reinterpret_cast<const sockaddr *>(&any), sizeof(any));
    sockaddr_in bound{};
    socklen_t length = sizeof(bound);
    if (listener_ == nullptr || getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr *>(&bound), &length) != 0) {
        throw std::runtime_error("the proxy cannot listen");
    }
    address_ = Address{"127.0.0.1", ntohs(bound.sin_port)};
}

LoopbackProxy::~LoopbackProxy()
{
    resetOpen();
    evconnlistener_free(listener_);
}

void LoopbackProxy::setMode(ProxyMode mode)
{
    mode_ = mode;
    if (mode == ProxyMode::Reset) {
        resetOpen();
    }
    for (const auto &[key, pipe] : pipes_) {
        pipe->silenced = pipe->silenced || mode == ProxyMode::Silent;
        forward(*pipe, false);
        forward(*pipe, true);
    }
}

void LoopbackProxy::resetOpen()
{
    std::vector<Pipe *> open;
    for (const auto &[key, pipe] : pipes_) {
        open.push_back(pipe.get());
    }
    for (Pipe *pipe : open) {
        close(*pipe, true);
    }
}

void LoopbackProxy::onAccept(evconnlistener *, int socket, sockaddr *, int, void *context)
{
    static_cast<LoopbackProxy *>(context)->accept(socket);
}

void LoopbackProxy::accept(int socket)
{
    auto pipe = std::make_unique<Pipe>();
    pipe->owner = this;
    pipe->silenced = mode_ == ProxyMode::Silent;
    pipe->client = bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    pipe->server = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    for (bufferevent *stream : {pipe->client, pipe->server}) {
        bufferevent_setcb(stream, &LoopbackProxy::onRead, nullptr, &LoopbackProxy::onEvent, pipe.get());
        bufferevent_enable(stream, EV_READ | EV_WRITE);
    }
    Pipe &added = *pipe;
    pipes_.emplace(&added, std::move(pipe));
    if (mode_ == ProxyMode::Reset) {
        return close(added, true);
    }
    const sockaddr_in target = socketAddressOf(target_);
    if (bufferevent_socket_connect(added.server, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
        close(added, true);
    }
}

void LoopbackProxy::onRead(bufferevent *stream, void *context)
{
    auto &pipe = *static_cast<Pipe *>(context);
    const bool toClient = stream == pipe.server;
    LoopbackProxy &self = *pipe.owner;
    if (toClient && self.mode_ == ProxyMode::Delay) {
        self.loop_.cancel(pipe.late);
        pipe.late = self.loop_.schedule(LateBy, [&self, &pipe] {
            pipe.late = 0;
            self.forward(pipe, true);
        });
        return;
    }
    self.forward(pipe, toClient);
}

void LoopbackProxy::forward(Pipe &pipe, bool toClient)
{
    const bool held = pipe.silenced || (toClient && (mode_ == ProxyMode::CutBack || pipe.late != 0));
    if (!held) {
        bufferevent *from = toClient ? pipe.server : pipe.client;
        bufferevent_write_buffer(toClient ? pipe.client : pipe.server, bufferevent_get_input(from));
    }
}

void LoopbackProxy::onEvent(bufferevent *stream, short events, void *context)
{
    auto &pipe = *static_cast<Pipe *>(context);
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0 || pipe.silenced) {
        return;
    }
    const bool byServer = stream == pipe.server;
    if (byServer && pipe.owner->mode_ == ProxyMode::CutBack) {
        return;
    }
    pipe.owner->close(pipe, (events & BEV_EVENT_ERROR) != 0);
}

void LoopbackProxy::close(Pipe &pipe, bool reset)
{
    loop_.cancel(pipe.late);
    // What was read is still on its way out; an orderly end lets it leave first.
    if (!reset) {
        evbuffer_write(bufferevent_get_output(pipe.client), bufferevent_getfd(pipe.client));
    }
    for (bufferevent *stream : {pipe.client, pipe.server}) {
        if (reset && bufferevent_getfd(stream) >= 0) {
            const linger abrupt{1, 0};
            setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &abrupt, sizeof(abrupt));
        }
        bufferevent_free(stream);
    }
    pipes_.erase(&pipe);
}

} // namespace Burdock
