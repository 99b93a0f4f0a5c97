#pragma once

#include <burdock/policy/membership.h>
#include <burdock/values/manualruntime.h>
#include <burdock/wire/probecodec.h>

#include <cstdint>
#include <ctime>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Burdock
{

/// IPv4 and UDP headers of one datagram.
constexpr std::size_t DatagramOverheadBytes = 28;

/// The processor time of this thread in nanoseconds.
inline std::uint64_t threadNanoseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<std::uint64_t>(time.tv_sec) * 1'000'000'000 + static_cast<std::uint64_t>(time.tv_nsec);
}

/// What one member cost since the last reset.
struct MemberCost
{
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t datagrams = 0;
    std::uint64_t nanoseconds = 0;
};

/// Membership objects on one manual clock. Their probes are encoded and decoded as on the wire; sockets are left out.
class Fleet
{
public:
    Fleet(std::size_t size, std::uint64_t seed, double loss);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Advances the clock.
    void run(Duration span);

    /// Advances in steps until the condition holds; gives the time passed.
    Duration runUntil(const std::function<bool()> &condition, Duration limit);

    void kill(std::size_t index);
    bool runs(std::size_t index) const;
    Membership &operator[](std::size_t index);
    std::size_t size() const;

    /// How many running members count the other as one that may get work.
    std::size_t seenBy(std::size_t other);

    static ListedInstance instance(std::size_t index);

    /// Starts a killed member anew.
    void restart(std::size_t index, std::uint64_t incarnation);

    void resetCosts();
    const MemberCost &cost(std::size_t index) const;
    std::uint64_t sum(std::uint64_t MembershipCounters::*counter) const;

    /// Makes all members install the versions that peers tell, so long after hearing of them.
    void installVersions(Duration fetchTime);

private:
    struct Node;

    void carry(std::size_t from, const Address &to, const ProbeMessage &message);
    void arrive(std::size_t from, std::size_t to, const std::string &datagram);
    Duration latency(std::size_t from, std::size_t to) const;
    void startOne(std::size_t index, std::uint64_t incarnation);

    ManualRuntime clock_;
    std::mt19937_64 random_;
    double loss_;
    InstanceList list_;
    std::vector<std::unique_ptr<Node>> nodes_;
};

} // namespace Burdock
