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

/// Bytes, processor time and memory of a member in a quiet fleet.
void quiet(std::uint64_t seed)
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
        printSpread(" each", perMember);
        std::printf("; datagrams/s %.2f; core %.5f %%; heap %.0f bytes a member\n", datagrams / members / Span, core, memory);
        bytes.emplace_back(members, total / members);
        times.emplace_back(members, core);
        memories.emplace_back(members, memory);
    }
    printFit("bytes/s", bytes, DesignSize);
    printFit("core %", times, DesignSize);
    printFit("heap bytes", memories, DesignSize);
}

/// How long until the first and until the last member takes a dead one for dead.
void detection(std::uint64_t seed)
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
            first.push_back(inSeconds(fleet.runUntil([&] { return fleet.seenBy(victim) < size - 1; }, minutes(2))));
            last.push_back(first.back() + inSeconds(fleet.runUntil([&] { return fleet.seenBy(victim) == 0; }, minutes(2))));
            fleet.restart(victim, 1000 * (static_cast<std::uint64_t>(round) + 1));
            fleet.run(seconds(30));
        }
        std::printf("detection members %zu:", size);
        printSpread(" first s", first);
        printSpread("; last s", last);
        std::printf("\n");
    }
}

/// False suspicions and false deaths where datagrams are lost and nobody fails.
void falseSuspicions(std::uint64_t seed)
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

/// A fifth of the fleet dies at once, as a data centre does, and comes back.
void dataCentre(std::uint64_t seed)
{
    for (const std::size_t size : {std::size_t{50}, std::size_t{200}, std::size_t{700}}) {
        Fleet fleet(size, seed, 0);
        fleet.run(seconds(70));
        fleet.resetCosts();
        double most = 0;
        const auto peak = [&](Duration span) {
            fleet.resetCosts();
            fleet.run(span);
            for (std::size_t index = 0; index < size; ++index) {
                most = std::max(most, static_cast<double>(fleet.cost(index).bytesSent + fleet.cost(index).bytesReceived) / inSeconds(span));
            }
        };
        const auto allSeen = [&](std::size_t wanted) {
            for (std::size_t index = 0; index < size; index += 5) {
                if (fleet.seenBy(index) != wanted) {
                    return false;
                }
            }
            return true;
        };
        const std::size_t rest = size - (size + 4) / 5;
        for (std::size_t index = 0; index < size; index += 5) {
            fleet.kill(index);
        }
        double gone = 0;
        while (!allSeen(0) && gone < 300) {
            peak(seconds(5));
            gone += 5;
        }
        for (std::size_t index = 0; index < size; index += 5) {
            fleet.restart(index, 1000);
        }
        double back = 0;
        while (!allSeen(size - 1) && back < 300) {
            peak(seconds(5));
            back += 5;
        }
        std::printf("data centre of %zu of %zu: all gone everywhere after %.0f s, all back everywhere after %.0f s, most bytes/s of one member over 5 s %.0f\n",
                    size - rest,
                    size,
                    gone,
                    back,
                    most);
    }
}

/// From the moment that a member says that it is leaving to the last member that hears of it.
void leaving(std::uint64_t seed)
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
                // The leaver itself is no entry at once; all others must hear of it.
                last.push_back(inSeconds(fleet.runUntil([&] { return fleet.seenBy(leaver) == 0; }, minutes(2))));
                fleet.run(seconds(3));
            }
            std::printf("leaving loss %.2f members %zu:", loss, size);
            printSpread(" last s", last);
            std::printf("\n");
        }
    }
}

/// From one member that has a new version to the last one, where a fetch takes 30 ms.
void versions(std::uint64_t seed)
{
    constexpr int Rounds = 7;
    for (const double loss : {0.0, 0.05, 0.2}) {
        for (const std::size_t size : Sizes) {
            Fleet fleet(size, seed, loss);
            fleet.installVersions(milliseconds(30));
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
            printSpread(" last s", last);
            std::printf("\n");
        }
    }
}

/// The processor time of one probe that is sent and received over loopback, codec and system calls included.
void datagrams()
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
    const std::uint64_t begin = threadNanoseconds();
    for (int sent = 0; sent < Count; ++sent) {
        sender.send(target, message);
        loop.runUntil([&] { return received > sent; }, seconds(1));
    }
    const double each = static_cast<double>(threadNanoseconds() - begin) / Count;
    std::printf("datagram sent and received over loopback, %d of %d arrived: %.0f ns of processor time\n", received, Count, each);
}

} // namespace

int main(int argc, char **argv)
{
    const std::string what = argc > 1 ? argv[1] : "";
    const std::uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    std::printf("membershipbench %s, seed %llu\n", what.c_str(), static_cast<unsigned long long>(seed));
    if (what == "quiet") {
        quiet(seed);
    } else if (what == "detection") {
        detection(seed);
    } else if (what == "loss") {
        falseSuspicions(seed);
    } else if (what == "datacentre") {
        dataCentre(seed);
    } else if (what == "leaving") {
        leaving(seed);
    } else if (what == "versions") {
        versions(seed);
    } else if (what == "datagrams") {
        datagrams();
    } else {
        std::printf("usage: membershipbench quiet|detection|loss|datacentre|leaving|versions|datagrams [SEED]\n");
        return 2;
    }
    return 0;
}
