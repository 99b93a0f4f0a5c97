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

constexpr Duration ResponseDelay = std::chrono::milliseconds(60);

sockaddr_in socketAddressOf(const Address &address)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &out.sin_addr);
    return out;
}

} // namespace

struct LoopbackProxy::Link
{
    LoopbackProxy *owner = nullptr;
    bufferevent *client = nullptr;
    bufferevent *server = nullptr;
    /// Stays set when the mode changes.
    bool blackholed = false;
    TimerId delayTimer = 0;
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
        throw std::runtime_error("the loopback proxy cannot listen");
    }
    address_ = Address{"127.0.0.1", ntohs(bound.sin_port)};
}

LoopbackProxy::~LoopbackProxy()
{
    resetConnections();
    evconnlistener_free(listener_);
}

void LoopbackProxy::setMode(ProxyMode mode)
{
    mode_ = mode;
    if (mode == ProxyMode::Reset) {
        resetConnections();
    }
    for (const auto &[key, link] : links_) {
        link->blackholed = link->blackholed || mode == ProxyMode::Blackhole;
        forward(*link, false);
        forward(*link, true);
    }
}

void LoopbackProxy::resetConnections()
{
    std::vector<Link *> open;
    for (const auto &[key, link] : links_) {
        open.push_back(link.get());
    }
    for (Link *link : open) {
        closeLink(*link, true);
    }
}

void LoopbackProxy::onAccept(evconnlistener *, int socket, sockaddr *, int, void *context)
{
    static_cast<LoopbackProxy *>(context)->accept(socket);
}

void LoopbackProxy::accept(int socket)
{
    auto link = std::make_unique<Link>();
    link->owner = this;
    link->blackholed = mode_ == ProxyMode::Blackhole;
    link->client = bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    link->server = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    for (bufferevent *stream : {link->client, link->server}) {
        bufferevent_setcb(stream, &LoopbackProxy::onRead, nullptr, &LoopbackProxy::onEvent, link.get());
        bufferevent_enable(stream, EV_READ | EV_WRITE);
    }
    Link &added = *link;
    links_.emplace(&added, std::move(link));
    if (mode_ == ProxyMode::Reset) {
        return closeLink(added, true);
    }
    const sockaddr_in target = socketAddressOf(target_);
    if (bufferevent_socket_connect(added.server, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
        closeLink(added, true);
    }
}

void LoopbackProxy::onRead(bufferevent *stream, void *context)
{
    auto &link = *static_cast<Link *>(context);
    const bool toClient = stream == link.server;
    LoopbackProxy &self = *link.owner;
    if (toClient && self.mode_ == ProxyMode::Delay) {
        self.loop_.cancel(link.delayTimer);
        link.delayTimer = self.loop_.schedule(ResponseDelay, [&self, &link] {
            link.delayTimer = 0;
            self.forward(link, true);
        });
        return;
    }
    self.forward(link, toClient);
}

void LoopbackProxy::forward(Link &link, bool toClient)
{
    const bool blocked = link.blackholed || (toClient && (mode_ == ProxyMode::HoldResponses || link.delayTimer != 0));
    if (!blocked) {
        bufferevent *from = toClient ? link.server : link.client;
        bufferevent_write_buffer(toClient ? link.client : link.server, bufferevent_get_input(from));
    }
}

void LoopbackProxy::onEvent(bufferevent *stream, short events, void *context)
{
    auto &link = *static_cast<Link *>(context);
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0 || link.blackholed) {
        return;
    }
    const bool fromServer = stream == link.server;
    if (fromServer && link.owner->mode_ == ProxyMode::HoldResponses) {
        return;
    }
    link.owner->closeLink(link, (events & BEV_EVENT_ERROR) != 0);
}

void LoopbackProxy::closeLink(Link &link, bool reset)
{
    loop_.cancel(link.delayTimer);
    // On an orderly close, bytes that were already read are still delivered to the client.
    if (!reset) {
        evbuffer_write(bufferevent_get_output(link.client), bufferevent_getfd(link.client));
    }
    for (bufferevent *stream : {link.client, link.server}) {
        if (reset && bufferevent_getfd(stream) >= 0) {
            const linger abrupt{1, 0};
            setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &abrupt, sizeof(abrupt));
        }
        bufferevent_free(stream);
    }
    links_.erase(&link);
}

} // namespace Burdock
