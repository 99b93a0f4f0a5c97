#pragma once

#include <burdock/values/address.h>
#include <burdock/wire/eventloop.h>

#include <memory>
#include <unordered_map>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace Burdock
{

/// What a proxy does to the connections through it.
enum class ProxyMode {
    Pass,
    /// Bytes to the client come late.
    Delay,
    /// Requests arrive, answers do not.
    HoldResponses,
    /// Nothing passes in either direction, and no connection ends.
    Blackhole,
    /// Connections are reset, and new ones at once.
    Reset,
};

/// A TCP proxy on loopback that brings about the faults of links.
class LoopbackProxy
{
public:
    LoopbackProxy(EventLoop &loop, const Address &target);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy &) = delete;
    LoopbackProxy &operator=(const LoopbackProxy &) = delete;

    /// Bytes that a mode held back pass again in a later one, except through connections that were blackholed: these stay silent.
    void setMode(ProxyMode mode);

    /// Resets the connections that are open now.
    void resetConnections();

    /// Where it listens.
    const Address &address() const
    {
        return address_;
    }

private:
    struct Link;

    static void onAccept(evconnlistener *listener, int socket, sockaddr *from, int length, void *context);
    static void onRead(bufferevent *stream, void *context);
    static void onEvent(bufferevent *stream, short events, void *context);

    void accept(int socket);
    void forward(Link &link, bool toClient);
    void closeLink(Link &link, bool reset);

    EventLoop &loop_;
    const Address target_;
    Address address_;
    ProxyMode mode_ = ProxyMode::Pass;
    evconnlistener *listener_ = nullptr;
    std::unordered_map<const Link *, std::unique_ptr<Link>> links_;
};

} // namespace Burdock
