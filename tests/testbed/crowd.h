#pragma once

#include <burdock/values/address.h>

#include <cstddef>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Burdock
{

/// What a process holds at one moment, or the most that it held.
struct ProcessUsage
{
    /// Resident memory in bytes; as a peak, the kernel's own record of it.
    std::size_t residentBytes = 0;
    /// Bytes that the kernel has received on the listener's connections and that the process has not read.
    std::size_t unreadBytes = 0;
    std::size_t descriptors = 0;
};

/// Measures what a process holds that listens on the address. All fields are zero once the process is gone.
ProcessUsage usageOf(pid_t process, const Address &address);

/// How one client of a crowd behaves.
struct CrowdClient
{
    /// Sent once, as fast as the server takes it. Clients may share it.
    std::shared_ptr<const std::string> bytes;
    /// The size of each write.
    std::size_t pieceBytes = 65536;
    /// How much the client reads in each round; it reads nothing if this is zero.
    std::size_t readBytes = 65536;
    /// Whether the client connects again and starts anew when its connection is closed.
    bool reconnects = false;
};

/// Clients that keep their connections open after they have sent their bytes, whatever the server does.
class Crowd
{
public:
    Crowd() = default;
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Connects so many clients. Throws std::runtime_error if the kernel does not take a connection.
    void connect(const Address &address, std::size_t count, const CrowdClient &client);

    /// Lets the clients send and read until nothing has moved, and the process has held the same, for some rounds, or the rounds are used up.
    /// Returns the peaks of what the process held meanwhile.
    ProcessUsage press(pid_t process, const Address &address);

    /// The number of clients whose connection is still open.
    std::size_t open() const;

private:
    struct Member
    {
        int socket = -1;
        CrowdClient client;
        std::size_t sent = 0;
        Address address{};
    };

    static void open(Member &member);

    /// Returns whether any byte moved.
    static bool send(Member &member);
    static bool receive(Member &member);

    std::vector<Member> members_;
};

} // namespace Burdock
