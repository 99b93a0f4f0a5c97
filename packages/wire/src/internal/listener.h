#pragma once

#include <burdock/values/address.h>
#include <burdock/wire/eventloop.h>

#include <functional>

struct evconnlistener;
struct sockaddr;

namespace Burdock
{

/// A listening TCP socket on the loop.
class Listener
{
public:
    /// Takes over the accepted socket.
    using Handler = std::function<void(int socket)>;

    Listener(EventLoop &loop, Handler handler);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /// Starts to listen. Port 0 takes a free one.
    Result<Address> listen(const Address &address);

private:
    static void onError(evconnlistener *listener, void *context);
    static void onAccept(evconnlistener *listener, int socket, sockaddr *from, int length, void *context);

    EventLoop &loop_;
    Handler handler_;
    evconnlistener *listener_ = nullptr;
    TimerId retry_ = 0;
};

} // namespace Burdock
