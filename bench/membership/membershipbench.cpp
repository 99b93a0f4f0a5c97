#include "fleet.h"
#include "statistics.h"

#include <burdock/wire/factories.h>

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <string>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{

constexpr double DesignSize = 710;
const std::vector<std::size_t> Sizes{7, 50, 200, 700};

double inSeconds(Duration span)
{
    return static_cast<double>(span.count()) / 1e6;
}

/// Traffic, processor time and memory per member in an idle fleet.
void benchIdleFleet(std::uint64_t seed)
{
    constexpr double Span = 60;
    std::vector<std::pair<double, double>> bytes;
    std::vector<std::pair<double, double>> times;
    std::vector<std::pair<double, double>> memories;
    for (const std::size_t size : Sizes) {
        const std::size_t before = mallinfo2().uordblks;
        Fleet fleet(size, seed, 0);
        const double memory = static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(size);
        fleet.run(seconds(90));
        fleet.resetCosts();
        fleet.run(Duration(static_cast<std::int64_t>(Span * 1e6)));
        std::vector<double> perMember;
        double nanoseconds = 0;
        double total = 0;
        double datagrams = 0;
        for (std::size_t index = 0; index < size; ++index) {
            const MemberCost &cost = fleet.cost(index);
            perMember.push_back(static_cast<double>(cost.bytesSent + cost.bytesReceived) / Span);
            total += perMember.back();
            nanoseconds += static_cast<double>(cost.nanoseconds);
            datagrams += static_cast<double>(cost.datagrams);
        }
        const auto members = static_cast<double>(size);
        const double core = nanoseconds / members / Span / 1e9 * 100;
        std::printf("quiet members %zu: bytes/s in and out mean %.1f,", size, total / members);
        printMinMedianMax(" each", perMember);
        std::printf("; datagrams/s %.2f; core %.5f %%; heap %.0f bytes a member\n", datagrams / members / Span, core, memory);
        bytes.emplace_back(members, total / members);
        times.emplace_back(members, core);
        memories.emplace_back(members, memory);
    }
    printFit("bytes/s", bytes, DesignSize);
    printFit("core %", times, DesignSize);
    printFit("heap bytes", memories, DesignSize);
}

/// Time until the first and until the last member considers a failed member dead.
void benchFailureDetection(std::uint64_t seed)
{
    constexpr int Rounds = 7;
    for (const std::size_t size : Sizes) {
        std::vector<double> first;
        std::vector<double> last;
        Fleet fleet(size, seed, 0);
        fleet.run(seconds(70));
        for (int round = 0; round < Rounds; ++round) {
            const std::size_t victim = static_cast<std::size_t>(round) * size / Rounds;
            fleet.kill(victim);
            first.push_back(inSeconds(fleet.runUntil([&] { return fleet.countMembersAccepting(victim) < size - 1; }, minutes(2))));
            last.push_back(first.back() + inSeconds(fleet.runUntil([&] { return fleet.countMembersAccepting(victim) == 0; }, minutes(2))));
            fleet.restart(victim, 1000 * (static_cast<std::uint64_t>(round) + 1));
            fleet.run(seconds(30));
        }
        std::printf("detection members %zu:", size);
        printMinMedianMax(" first s", first);
        printMinMedianMax("; last s", last);
        std::printf("\n");
    }
}

/// False suspicions and false deaths when datagrams are lost but no member fails.
void benchFalseSuspicions(std::uint64_t seed)
{
    for (const double loss : {0.0, 0.05, 0.2}) {
        for (const std::size_t size : Sizes) {
            const double hours = (size > 500 ? 120 : size > 100 ? 600 : 1800) / 3600.0;
            Fleet fleet(size, seed, loss);
            fleet.run(Duration(static_cast<std::int64_t>(hours * 3600e6)));
            const double memberHours = hours * static_cast<double>(size);
            const auto rate = [&](std::uint64_t MembershipCounters::*counter) { return static_cast<double>(fleet.sum(counter)) / memberHours; };
            std::printf("loss %.2f members %zu, %.0f member-hours: suspicions %.3f, deaths declared %.4f, a member and hour; probes that failed %.5f\n",
                        loss,
                        size,
                        memberHours,
                        rate(&MembershipCounters::suspicions),
                        rate(&MembershipCounters::deaths),
                        rate(&MembershipCounters::failedProbes) / 3600);
        }
    }
}

/// A fifth of the fleet fails at once, as in a data centre outage, and restarts.
void benchDataCentreFailure(std::uint64_t seed)
{
    for (const std::size_t size : {std::size_t{50}, std::size_t{200}, std::size_t{700}}) {
        Fleet fleet(size, seed, 0);
        fleet.run(seconds(70));
        fleet.resetCosts();
        double peakBytesPerSecond = 0;
        const auto measurePeak = [&](Duration span) {
            fleet.resetCosts();
            fleet.run(span);
            for (std::size_t index = 0; index < size; ++index) {
                peakBytesPerSecond =
                    std::max(peakBytesPerSecond, static_cast<double>(fleet.cost(index).bytesSent + fleet.cost(index).bytesReceived) / inSeconds(span));
            }
        };
        const auto allSeen = [&](std::size_t wanted) {
            for (std::size_t index = 0; index < size; index += 5) {
                if (fleet.countMembersAccepting(index) != wanted) {
                    return false;
                }
            }
            return true;
        };
        const std::size_t survivors = size - (size + 4) / 5;
        for (std::size_t index = 0; index < size; index += 5) {
            fleet.kill(index);
        }
        double secondsUntilGone = 0;
        while (!allSeen(0) && secondsUntilGone < 300) {
            measurePeak(seconds(5));
            secondsUntilGone += 5;
        }
        for (std::size_t index = 0; index < size; index += 5) {
            fleet.restart(index, 1000);
        }
        double secondsUntilBack = 0;
        while (!allSeen(size - 1) && secondsUntilBack < 300) {
            measurePeak(seconds(5));
            secondsUntilBack += 5;
        }
        std::printf("data centre of %zu of %zu: all gone everywhere after %.0f s, all back everywhere after %.0f s, most bytes/s of one member over 5 s %.0f\n",
                    size - survivors,
                    size,
                    secondsUntilGone,
                    secondsUntilBack,
                    peakBytesPerSecond);
    }
}

/// Time from a member's leave announcement until the last member has learned of it.
void benchLeaving(std::uint64_t seed)
{
    constexpr std::size_t Rounds = 7;
    for (const double loss : {0.0, 0.05, 0.2}) {
        for (const std::size_t size : Sizes) {
            Fleet fleet(size, seed, loss);
            fleet.run(seconds(70));
            std::vector<double> last;
            for (std::size_t round = 0; round < Rounds; ++round) {
                const std::size_t leaver = round * size / Rounds;
                fleet[leaver].leave();
                // The leaving member stops counting itself immediately; all others must learn of it.
                last.push_back(inSeconds(fleet.runUntil([&] { return fleet.countMembersAccepting(leaver) == 0; }, minutes(2))));
                fleet.run(seconds(3));
            }
            std::printf("leaving loss %.2f members %zu:", loss, size);
            printMinMedianMax(" last s", last);
            std::printf("\n");
        }
    }
}

/// Time until a new version on one member is installed on all, with a fetch time of 30 ms.
void benchVersionSpread(std::uint64_t seed)
{
    constexpr int Rounds = 7;
    for (const double loss : {0.0, 0.05, 0.2}) {
        for (const std::size_t size : Sizes) {
            Fleet fleet(size, seed, loss);
            fleet.installReportedVersions(milliseconds(30));
            fleet.run(seconds(70));
            std::vector<double> last;
            for (std::uint64_t round = 1; round <= Rounds; ++round) {
                fleet[round * size / (Rounds + 1)].setConfigVersion(round);
                const auto everywhere = [&] {
                    for (std::size_t index = 0; index < size; ++index) {
                        if (fleet[index].self().configVersion != round) {
                            return false;
                        }
                    }
                    return true;
                };
                last.push_back(inSeconds(fleet.runUntil(everywhere, minutes(2))));
                fleet.run(seconds(3));
            }
            std::printf("version loss %.2f members %zu:", loss, size);
            printMinMedianMax(" last s", last);
            std::printf("\n");
        }
    }
}

/// Processor time to send and receive one probe over loopback, including the codec and system calls.
void benchDatagrams()
{
    constexpr int Count = 20000;
    EventLoop loop;
    const auto left = makeDatagramSocket(loop);
    const auto right = makeDatagramSocket(loop);
    left->bind({"127.0.0.1", 0});
    const Address target = right->bind({"127.0.0.1", 0}).value();
    ProbeChannel sender(*left);
    ProbeChannel receiver(*right);
    int received = 0;
    receiver.setHandler([&](const Address &, const ProbeMessage &) { ++received; });
    const ProbeMessage message{ProbeKind::Ping, 1, InstanceId("burdock-1"), 1'700'000'000'000'000, MemberLife::Ready, 9, {}, {}};
    const std::uint64_t begin = threadCpuNanoseconds();
    for (int sent = 0; sent < Count; ++sent) {
        sender.send(target, message);
        loop.runUntil([&] { return received > sent; }, seconds(1));
    }
    const double each = static_cast<double>(threadCpuNanoseconds() - begin) / Count;
    std::printf("datagram sent and received over loopback, %d of %d arrived: %.0f ns of processor time\n", received, Count, each);
}

} // namespace

int main(int argc, char **argv)
{
    const std::string benchmark = argc > 1 ? argv[1] : "";
    const std::uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    std::printf("membershipbench %s, seed %llu\n", benchmark.c_str(), static_cast<unsigned long long>(seed));
    if (benchmark == "quiet") {
        benchIdleFleet(seed);
    } else if (benchmark == "detection") {
        benchFailureDetection(seed);
    } else if (benchmark == "loss") {
        benchFalseSuspicions(seed);
    } else if (benchmark == "datacentre") {
        benchDataCentreFailure(seed);
    } else if (benchmark == "leaving") {
        benchLeaving(seed);
    } else if (benchmark == "versions") {
        benchVersionSpread(seed);
    } else if (benchmark == "datagrams") {
        benchDatagrams();
    } else {
        std::printf("usage: membershipbench quiet|detection|loss|datacentre|leaving|versions|datagrams [SEED]\n");
        return 2;
    }
    return 0;
}
