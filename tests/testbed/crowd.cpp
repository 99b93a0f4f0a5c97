#include "crowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace Burdock
{

namespace
{

constexpr int RoundsAtRest = 200;
constexpr int MaxRounds = 1500;
constexpr int RoundsPerMeasurement = 5;
constexpr std::chrono::milliseconds RoundPause(10);
/// A small buffer, so that what a client does not read stays with the server.
constexpr int ClientReceiveBytes = 4096;
constexpr std::size_t BytesPerKilobyte = 1024;
constexpr int Hexadecimal = 16;
/// In the kernel's table.
constexpr const char *ListeningState = "0A";

std::size_t kilobytesOf(const std::string &status, const std::string &field)
{
    const std::size_t at = status.find(field);
    return at == std::string::npos ? 0 : std::strtoull(status.c_str() + at + field.size(), nullptr, 10) * BytesPerKilobyte;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// The receive queues of all connections to the address, from the kernel's table.
std::size_t unreadBytesOf(const Address &address)
{
    in_addr wanted{};
    inet_pton(AF_INET, address.host.c_str(), &wanted);
    std::istringstream table(readFile("/proc/net/tcp"));
    std::size_t sum = 0;
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> slot >> local >> remote >> state >> queues;
        const std::size_t colon = queues.find(':');
        const std::size_t localColon = local.find(':');
        if (state == ListeningState || colon == std::string::npos || localColon == std::string::npos) {
            continue;
        }
        const bool isPort = std::strtoul(local.c_str() + localColon + 1, nullptr, Hexadecimal) == address.port;
        if (isPort && std::strtoul(local.c_str(), nullptr, Hexadecimal) == wanted.s_addr) {
            sum += std::strtoull(queues.c_str() + colon + 1, nullptr, Hexadecimal);
        }
    }
    return sum;
}

ProcessUsage largest(const ProcessUsage &left, const ProcessUsage &right)
{
    return {std::max(left.residentBytes, right.residentBytes), std::max(left.unreadBytes, right.unreadBytes), std::max(left.descriptors, right.descriptors)};
}

} // namespace

ProcessUsage usageOf(pid_t process, const Address &address)
{
    const std::string folder = "/proc/" + std::to_string(process);
    ProcessUsage usage;
    usage.residentBytes = kilobytesOf(readFile(folder + "/status"), "VmHWM:");
    usage.unreadBytes = unreadBytesOf(address);
    std::error_code ignored;
    for (std::filesystem::directory_iterator entry(folder + "/fd", ignored), end; entry != end; entry.increment(ignored)) {
        ++usage.descriptors;
    }
    return usage;
}

Crowd::~Crowd()
{
    for (const Member &member : members_) {
        if (member.socket >= 0) {
            close(member.socket);
        }
    }
}

void Crowd::open(Member &member)
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(member.address.port);
    inet_pton(AF_INET, member.address.host.c_str(), &target.sin_addr);
    member.sent = 0;
    member.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (member.socket < 0) {
        throw std::runtime_error("the test has no descriptors left");
    }
    setsockopt(member.socket, SOL_SOCKET, SO_RCVBUF, &ClientReceiveBytes, sizeof(ClientReceiveBytes));
    if (::connect(member.socket, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
        close(std::exchange(member.socket, -1));
        throw std::runtime_error("cannot connect to " + member.address.toString());
    }
    fcntl(member.socket, F_SETFL, O_NONBLOCK);
}

void Crowd::connect(const Address &address, std::size_t count, const CrowdClient &client)
{
    for (std::size_t index = 0; index < count; ++index) {
        members_.push_back({-1, client, 0, address});
        open(members_.back());
    }
}

bool Crowd::send(Member &member)
{
    const std::string &bytes = *member.client.bytes;
    if (member.sent == bytes.size()) {
        return false;
    }
    const std::size_t length = std::min(member.client.pieceBytes, bytes.size() - member.sent);
    const ssize_t written = ::send(member.socket, bytes.data() + member.sent, length, MSG_NOSIGNAL);
    if (written > 0) {
        member.sent += static_cast<std::size_t>(written);
        return true;
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK) {
        close(std::exchange(member.socket, -1));
    }
    return false;
}

bool Crowd::receive(Member &member)
{
    std::string piece(member.client.readBytes, '\0');
    const ssize_t length = piece.empty() ? -1 : recv(member.socket, piece.data(), piece.size(), 0);
    const bool isPending = piece.empty() || (length < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
    if (length <= 0 && !isPending) {
        close(std::exchange(member.socket, -1));
    }
    return length > 0;
}

ProcessUsage Crowd::press(pid_t process, const Address &address)
{
    ProcessUsage peak = usageOf(process, address);
    ProcessUsage before = peak;
    int atRest = 0;
    for (int round = 0; round < MaxRounds && atRest < RoundsAtRest; ++round) {
        bool moved = false;
        for (Member &member : members_) {
            if (member.socket < 0 && member.client.reconnects) {
                open(member);
            }
            moved = (member.socket >= 0 && send(member)) || moved;
            moved = (member.socket >= 0 && receive(member)) || moved;
        }
        if (round % RoundsPerMeasurement == 0) {
            const ProcessUsage now = usageOf(process, address);
            moved = moved || now.residentBytes != before.residentBytes || now.unreadBytes != before.unreadBytes;
            peak = largest(peak, now);
            before = now;
        }
        atRest = moved ? 0 : atRest + 1;
        std::this_thread::sleep_for(RoundPause);
    }
    return largest(peak, usageOf(process, address));
}

std::size_t Crowd::open() const
{
    return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [](const Member &member) { return member.socket >= 0; }));
}

} // namespace Burdock
