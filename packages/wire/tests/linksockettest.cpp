#include "../src/internal/sockets.h"

#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

using namespace Burdock;

namespace
{

int optionOf(int socket, int level, int option)
{
    int value = 0;
    socklen_t size = sizeof(value);
    REQUIRE(getsockopt(socket, level, option, &value, &size) == 0);
    return value;
}

} // namespace

TEST_CASE("A link's user timeout does not give an idle link up before all keep-alive probes are unanswered", "[wire][link]")
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(socket >= 0);
    prepareLinkSocket(socket);
    const int idle = optionOf(socket, IPPROTO_TCP, TCP_KEEPIDLE);
    const int interval = optionOf(socket, IPPROTO_TCP, TCP_KEEPINTVL);
    const int probes = optionOf(socket, IPPROTO_TCP, TCP_KEEPCNT);
    CHECK(optionOf(socket, SOL_SOCKET, SO_KEEPALIVE) != 0);
    CHECK(probes >= 2);
    constexpr int MillisecondsPerSecond = 1000;
    CHECK(optionOf(socket, IPPROTO_TCP, TCP_USER_TIMEOUT) == (idle + probes * interval) * MillisecondsPerSecond);
    close(socket);
}
