#pragma once

#include <burdock/values/address.h>
#include <burdock/wire/eventloop.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <functional>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <vector>

namespace Burdock
{

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// A TCP connection on which a test sends and receives raw bytes.
class RawSocket
{
public:
    /// Connects to a loopback port.
    RawSocket(EventLoop &loop, std::uint16_t port)
        : RawSocket(loop, -1, {})
    {
        const sockaddr_in address = loopback(port);
        bufferevent_socket_connect(stream_, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    }

    /// Takes ownership of an accepted socket. `behaviour` is called after each read; `received` accumulates the input.
    RawSocket(EventLoop &loop, int socket, std::function<void(RawSocket &)> behaviour)
        : onBytes(std::move(behaviour))
        , stream_(bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE))
    {
        bufferevent_setcb(stream_, &RawSocket::onRead, nullptr, &RawSocket::onEvent, this);
        bufferevent_enable(stream_, EV_READ | EV_WRITE);
        // Without this a second small piece waits until the first was acknowledged.
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    ~RawSocket()
    {
        close();
    }

    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    void send(const std::string &bytes)
    {
        bufferevent_write(stream_, bytes.data(), bytes.size());
    }

    /// Sends the bytes again and again, as fast as the peer takes them, until the peer closes the connection.
    void sendEndlessly(const std::string &bytes)
    {
        endless_ = bytes;
        bufferevent_setcb(stream_, &RawSocket::onRead, &RawSocket::onDrained, &RawSocket::onEvent, this);
        bufferevent_trigger(stream_, EV_WRITE, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
    }

    /// The bytes that were handed to the kernel by `sendEndlessly`.
    std::size_t sentEndlessly = 0;

    void stopReading()
    {
        bufferevent_disable(stream_, EV_READ);
    }

    void startReading()
    {
        bufferevent_enable(stream_, EV_READ);
    }

    void halfClose()
    {
        shutdown(bufferevent_getfd(stream_), SHUT_WR);
    }

    void close()
    {
        if (stream_ != nullptr) {
            bufferevent_free(stream_);
            stream_ = nullptr;
        }
    }

    /// Closes the connection with a TCP reset.
    void reset()
    {
        const linger now{1, 0};
        setsockopt(bufferevent_getfd(stream_), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        close();
    }

    std::function<void(RawSocket &)> onBytes;
    std::string received;
    bool closedByPeer = false;

private:
    static void onRead(bufferevent *stream, void *context)
    {
        auto *self = static_cast<RawSocket *>(context);
        evbuffer *input = bufferevent_get_input(stream);
        std::string piece(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, piece.data(), piece.size());
        self->received += piece;
        if (self->onBytes) {
            self->onBytes(*self);
        }
    }

    static void onDrained(bufferevent *stream, void *context)
    {
        auto *self = static_cast<RawSocket *>(context);
        if (!self->closedByPeer && !self->endless_.empty()) {
            self->sentEndlessly += self->endless_.size();
            bufferevent_write(stream, self->endless_.data(), self->endless_.size());
        }
    }

    static void onEvent(bufferevent *, short events, void *context)
    {
        auto *self = static_cast<RawSocket *>(context);
        self->closedByPeer = self->closedByPeer || (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
    }

    bufferevent *stream_;
    std::string endless_;
};

/// A listening port whose connections are RawSockets.
class RawServer
{
public:
    using Behaviour = std::function<void(RawSocket &)>;

    RawServer(EventLoop &loop, Behaviour onBytes)
        : loop_(loop)
        , onBytes_(std::move(onBytes))
    {
        const sockaddr_in any = loopback(0);
        listener_ =
            evconnlistener_new_bind(loop.base(), &RawServer::onAccept, this, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<const sockaddr *>(&any), sizeof(any));
    }

    ~RawServer()
    {
        evconnlistener_free(listener_);
    }

    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    Address address() const
    {
        sockaddr_in bound{};
        socklen_t length = sizeof(bound);
        getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr *>(&bound), &length);
        return {"127.0.0.1", ntohs(bound.sin_port)};
    }

    std::vector<std::unique_ptr<RawSocket>> sockets;

private:
    static void onAccept(evconnlistener *, int socket, sockaddr *, int, void *context)
    {
        auto *self = static_cast<RawServer *>(context);
        self->sockets.push_back(std::make_unique<RawSocket>(self->loop_, socket, self->onBytes_));
    }

    EventLoop &loop_;
    Behaviour onBytes_;
    evconnlistener *listener_;
};

} // namespace Burdock
