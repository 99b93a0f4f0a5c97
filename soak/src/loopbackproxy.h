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

/// How a proxy treats the connections through it.
enum class ProxyMode {
    Pass,
    /// Bytes to the client are delayed by 60 ms.
    Delay,
    /// Forwards requests and holds the responses.
    HoldResponses,
    /// Forwards nothing in either direction and closes no connection.
    Blackhole,
    /// Resets open connections, and new ones on accept.
    Reset,
};

/// A TCP proxy on loopback that simulates network faults.
///
/// The constructor throws std::runtime_error if the proxy cannot listen.
class LoopbackProxy
{
public:
    LoopbackProxy(EventLoop &loop, const Address &target);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy &) = delete;
    LoopbackProxy &operator=(const LoopbackProxy &) = delete;

    /// Bytes that the previous mode held back are forwarded if the new mode allows it. A connection that was blackholed stays so.
    void setMode(ProxyMode mode);

    /// Resets all open connections; later ones are accepted as the mode says.
    void resetConnections();

    /// The loopback address that clients connect to.
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
