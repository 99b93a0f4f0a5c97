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

/// Size of the IPv4 and UDP headers of one datagram.
constexpr std::size_t DatagramOverheadBytes = 28;

/// Processor time used by this thread, in nanoseconds.
inline std::uint64_t threadCpuNanoseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<std::uint64_t>(time.tv_sec) * 1'000'000'000 + static_cast<std::uint64_t>(time.tv_nsec);
}

/// Traffic and processor time of one member since the last reset.
struct MemberCost
{
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t datagrams = 0;
    std::uint64_t nanoseconds = 0;
};

/// Membership objects on a shared manual clock. Probes are encoded and decoded as on the wire, without sockets.
class Fleet
{
public:
    Fleet(std::size_t size, std::uint64_t seed, double loss);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    void run(Duration span);

    /// Advances the clock in steps until the condition holds or the limit is reached; returns the elapsed time.
    Duration runUntil(const std::function<bool()> &condition, Duration limit);

    void kill(std::size_t index);
    bool isRunning(std::size_t index) const;
    Membership &operator[](std::size_t index);
    std::size_t size() const;

    /// Number of running members that consider another member able to accept work.
    std::size_t countMembersAccepting(std::size_t other);

    static ListedInstance instance(std::size_t index);

    /// Restarts a killed member with a new incarnation.
    void restart(std::size_t index, std::uint64_t incarnation);

    void resetCosts();
    const MemberCost &cost(std::size_t index) const;
    std::uint64_t sum(std::uint64_t MembershipCounters::*counter) const;

    /// Makes all members install the versions that peers report, `fetchTime` after the report.
    void installReportedVersions(Duration fetchTime);

private:
    struct Node;

    void sendDatagram(std::size_t from, const Address &to, const ProbeMessage &message);
    void deliverDatagram(std::size_t from, std::size_t to, const std::string &datagram);
    Duration latency(std::size_t from, std::size_t to) const;
    void startMember(std::size_t index, std::uint64_t incarnation);

    ManualRuntime clock_;
    std::mt19937_64 random_;
    double loss_;
    InstanceList list_;
    std::vector<std::unique_ptr<Node>> nodes_;
};

} // namespace Burdock
