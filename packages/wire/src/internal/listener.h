#pragma once

#include <burdock/values/address.h>
#include <burdock/wire/eventloop.h>

#include <functional>

struct evconnlistener;
struct sockaddr;

namespace Burdock
{

/// Why a connection could not be accepted.
enum class AcceptError {
    /// Descriptors or memory are used up.
    Shortage,
    /// This connection failed before it was accepted, or a firewall forbids it; others can be accepted.
    Connection,
    /// Anything else, which may concern all connections.
    Other,
};

/// A listening TCP socket on the event loop.
class Listener
{
public:
    /// Called for each accepted socket, whose ownership it takes.
    using Handler = std::function<void(int socket)>;

    /// `onFailed` is called for each attempt to accept that failed. Unless only this connection failed, the next follows after a pause,
    /// or at once if it returns true.
    Listener(
        EventLoop &loop, Handler handler, std::function<bool(AcceptError)> onFailed = [](AcceptError) { return false; });
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /// Starts to listen and returns the bound address; port 0 selects a free port. BadRequest for anything but an IP number and
    /// port, Unavailable if the address cannot be bound.
    Result<Address> listen(const Address &address);

private:
    static void onError(evconnlistener *listener, void *context);
    static void onAccept(evconnlistener *listener, int socket, sockaddr *from, int length, void *context);

    EventLoop &loop_;
    Handler handler_;
    std::function<bool(AcceptError)> onFailed_;
    evconnlistener *listener_ = nullptr;
    TimerId retryTimer_ = 0;
};

} // namespace Burdock
