#include "internal/listener.h"

#include "internal/sockets.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <event2/listener.h>
#include <utility>

namespace Burdock
{

namespace
{

/// The number of connections that the kernel queues until the loop accepts them.
constexpr int ListenBacklog = 1024;
/// The pause before accepting again after an error, such as a lack of file descriptors.
constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(100);

constexpr std::array<int, 4> ShortageErrors{EMFILE, ENFILE, ENOBUFS, ENOMEM};
/// Linux reports errors of the new connection as those of the call.
constexpr std::array<int, 11> ConnectionErrors{
    ECONNABORTED, ECONNRESET, EHOSTDOWN, EHOSTUNREACH, ENETDOWN, ENETUNREACH, ENONET, ENOPROTOOPT, EPERM, EPROTO, ETIMEDOUT};

template<std::size_t Count>
bool contains(const std::array<int, Count> &errors, int error)
{
    return std::find(errors.begin(), errors.end(), error) != errors.end();
}

AcceptError acceptErrorOf(int error)
{
    if (contains(ShortageErrors, error)) {
        return AcceptError::Shortage;
    }
    return contains(ConnectionErrors, error) ? AcceptError::Connection : AcceptError::Other;
}

} // namespace

Listener::Listener(EventLoop &loop, Handler handler, std::function<bool(AcceptError)> onFailed)
    : loop_(loop)
    , handler_(std::move(handler))
    , onFailed_(std::move(onFailed))
{
}

Listener::~Listener()
{
    loop_.cancel(retryTimer_);
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
    listener_ = evconnlistener_new_bind(loop_.base(),
                                        &Listener::onAccept,
                                        this,
                                        Flags,
                                        ListenBacklog,
                                        reinterpret_cast<const sockaddr *>(&*socketAddress),
                                        static_cast<int>(socketAddressLength(*socketAddress)));
    if (listener_ == nullptr) {
        return notRun(Errc::Unavailable, "cannot listen on " + address.toString() + "; is the port in use?");
    }
    evconnlistener_set_error_cb(listener_, &Listener::onError);
    return localAddress(evconnlistener_get_fd(listener_));
}

void Listener::onError(evconnlistener *listener, void *context)
{
    const AcceptError error = acceptErrorOf(errno);
    auto *self = static_cast<Listener *>(context);
    bool freed = false;
    self->loop_.boundary().run("accept", [&] { freed = self->onFailed_(error); });
    if (error == AcceptError::Connection) {
        return;
    }
    const Duration delay = freed ? Duration{0} : AcceptRetryDelay;
    evconnlistener_disable(listener);
    self->loop_.cancel(self->retryTimer_);
    self->retryTimer_ = self->loop_.schedule(delay, [self] { evconnlistener_enable(self->listener_); });
}

void Listener::onAccept(evconnlistener *, int socket, sockaddr *, int, void *context)
{
    auto *self = static_cast<Listener *>(context);
    self->loop_.boundary().run("accept", [self, socket] { self->handler_(socket); });
}

} // namespace Burdock
