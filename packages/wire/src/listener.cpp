#include "internal/listener.h"

#include "internal/sockets.h"

#include <event2/listener.h>
#include <utility>

namespace Burdock
{

Listener::Listener(EventLoop &loop, Handler handler)
    : loop_(loop)
    , handler_(std::move(handler))
{
}

Listener::~Listener()
{
    if (listener_ != nullptr) {
        evconnlistener_free(listener_);
    }
}

Result<Address> Listener::listen(const Address &address)
{
    const auto socketAddress = Burdock::socketAddress(address);
    if (!socketAddress) {
        return tl::make_unexpected(socketAddress.error());
    }
    constexpr unsigned Flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
    constexpr int SystemBacklog = -1;
    listener_ = evconnlistener_new_bind(loop_.base(),
                                        &Listener::onAccept,
                                        this,
                                        Flags,
                                        SystemBacklog,
                                        reinterpret_cast<const sockaddr *>(&*socketAddress),
                                        static_cast<int>(socketAddressLength(*socketAddress)));
    if (listener_ == nullptr) {
        return notRun(Errc::Unavailable, "cannot listen on " + address.toString() + "; is the port in use?");
    }
    return localAddress(evconnlistener_get_fd(listener_));
}

void Listener::onAccept(evconnlistener *, int socket, sockaddr *, int, void *context)
{
    static_cast<Listener *>(context)->handler_(socket);
}

} // namespace Burdock
