/// Preloaded into the instances of a testbed: connections to servers leave from the instance's own address, so that a fake server can
/// tell the instances apart, and they can be refused or left unanswered by the kernel.

#include <arpa/inet.h>
#include <cstdlib>
#include <cstring>
#include <dlfcn.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

/// Nothing listens on this port.
constexpr in_port_t ClosedPort = 1;

/// The state of the links, the first letter of a file that the testbed writes: `o`pen, `r`efused or `s`ilent.
char linkState()
{
    const char *const path = std::getenv("BURDOCK_TESTBED_LINKS");
    char state = 'o';
    const int file = path == nullptr ? -1 : open(path, O_RDONLY | O_CLOEXEC);
    if (file >= 0) {
        if (read(file, &state, 1) != 1) {
            state = 'o';
        }
        close(file);
    }
    return state;
}

/// Servers listen on 127.0.0.1, as does the store; instances have addresses of their own.
bool isServer(const sockaddr *address)
{
    const char *const storePort = std::getenv("BURDOCK_TESTBED_STORE_PORT");
    if (address->sa_family != AF_INET || storePort == nullptr) {
        return false;
    }
    const auto *const v4 = reinterpret_cast<const sockaddr_in *>(address);
    return v4->sin_addr.s_addr == htonl(INADDR_LOOPBACK) && ntohs(v4->sin_port) != std::atoi(storePort);
}

/// Returns whether that succeeded.
bool bindToOwnAddress(int socket)
{
    const char *const host = std::getenv("BURDOCK_TESTBED_HOST");
    sockaddr_in own{};
    own.sin_family = AF_INET;
    if (host != nullptr && inet_pton(AF_INET, host, &own.sin_addr) == 1) {
        const int on = 1;
        setsockopt(socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
        return bind(socket, reinterpret_cast<const sockaddr *>(&own), sizeof(own)) == 0;
    }
    return false;
}

/// No packet reaches the socket, so that it waits for the answer to its first one.
void dropAllPackets(int socket)
{
    sock_filter drop{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program{1, &drop};
    setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

} // namespace

extern "C" int connect(int socket, const sockaddr *address, socklen_t size)
{
    using Connect = int (*)(int, const sockaddr *, socklen_t);
    static const auto next = reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
    if (!isServer(address)) {
        return next(socket, address, size);
    }
    if (!bindToOwnAddress(socket)) {
        return -1;
    }
    const char state = linkState();
    if (state == 's') {
        dropAllPackets(socket);
    } else if (state == 'r') {
        sockaddr_in closed{};
        std::memcpy(&closed, address, sizeof(closed));
        closed.sin_port = htons(ClosedPort);
        return next(socket, reinterpret_cast<const sockaddr *>(&closed), sizeof(closed));
    }
    return next(socket, address, size);
}
