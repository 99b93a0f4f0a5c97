#include "internal/sockets.h"

#include <burdock/wire/factories.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <event2/event.h>
#include <utility>

namespace Burdock
{

namespace
{

/// Larger datagrams are dropped.
constexpr std::size_t MaxDatagramBytes = 2048;

/// The number of datagrams that are read in one iteration of the loop, so that other events are not delayed.
constexpr int MaxReadsPerTurn = 64;

class LibeventDatagramSocket final : public DatagramSocket
{
public:
    explicit LibeventDatagramSocket(EventLoop &loop)
        : loop_(loop)
    {
    }

    ~LibeventDatagramSocket() override
    {
        close();
    }

    LibeventDatagramSocket(const LibeventDatagramSocket &) = delete;
    LibeventDatagramSocket &operator=(const LibeventDatagramSocket &) = delete;

    Result<Address> bind(const Address &address) override
    {
        const auto wanted = socketAddress(address);
        if (!wanted) {
            return tl::unexpected(wanted.error());
        }
        close();
        socket_ = ::socket(wanted->ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (socket_ < 0 || ::bind(socket_, reinterpret_cast<const sockaddr *>(&*wanted), socketAddressLength(*wanted)) != 0) {
            const int error = errno;
            close();
            return notRun(Errc::Unavailable, "cannot bind UDP " + address.toString() + ": " + std::strerror(error));
        }
        readEvent_ = event_new(loop_.base(), socket_, EV_READ | EV_PERSIST, &LibeventDatagramSocket::onReadable, this);
        event_add(readEvent_, nullptr);
        return localAddress(socket_);
    }

    void setHandler(Handler handler) override
    {
        handler_ = std::move(handler);
    }

    void send(const Address &to, const std::string &datagram) override
    {
        const auto target = socketAddress(to);
        if (socket_ >= 0 && target) {
            // A datagram that the kernel rejects is treated as lost, which the protocol has to tolerate anyway.
            (void)::sendto(socket_, datagram.data(), datagram.size(), 0, reinterpret_cast<const sockaddr *>(&*target), socketAddressLength(*target));
        }
    }

private:
    static void onReadable(evutil_socket_t, short, void *context)
    {
        static_cast<LibeventDatagramSocket *>(context)->readAll();
    }

    void readAll()
    {
        for (int read = 0; read < MaxReadsPerTurn; ++read) {
            std::array<char, MaxDatagramBytes> buffer;
            sockaddr_storage from{};
            socklen_t length = sizeof(from);
            const ssize_t size = ::recvfrom(socket_, buffer.data(), buffer.size(), MSG_TRUNC, reinterpret_cast<sockaddr *>(&from), &length);
            if (size < 0 && errno == ECONNREFUSED) {
                continue;
            }
            if (size < 0) {
                return;
            }
            if (handler_ && static_cast<std::size_t>(size) <= buffer.size()) {
                loop_.boundary().run("datagram", [&] { handler_(addressOf(from), std::string(buffer.data(), static_cast<std::size_t>(size))); });
            }
        }
    }

    void close()
    {
        if (readEvent_ != nullptr) {
            event_free(readEvent_);
            readEvent_ = nullptr;
        }
        if (socket_ >= 0) {
            evutil_closesocket(socket_);
            socket_ = -1;
        }
    }

    EventLoop &loop_;
    evutil_socket_t socket_ = -1;
    event *readEvent_ = nullptr;
    Handler handler_;
};

} // namespace

std::unique_ptr<DatagramSocket> makeDatagramSocket(EventLoop &loop)
{
    return std::make_unique<LibeventDatagramSocket>(loop);
}

} // namespace Burdock
