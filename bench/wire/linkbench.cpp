#include "bench.h"
#include "messages.h"

#include <burdock/wire/factories.h>
#include <cstdlib>

namespace Burdock::Bench
{

namespace
{

constexpr std::size_t Runs = 7;
constexpr std::size_t Batches = 4000;
constexpr Duration Timeout = std::chrono::seconds(60);
const Address AnyPort{"127.0.0.1", 0};

void require(bool condition, const char *what)
{
    if (!condition) {
        std::fprintf(stderr, "wirebench: %s\n", what);
        std::exit(1);
    }
}

/// Sends batches one after the other; the processor time includes both ends.
void benchMessages(std::size_t perFrame, const PeerMessage &message, const std::string &name)
{
    EventLoop loop;
    const InstanceId here("a");
    const InstanceId there("b");
    const auto sender = makePeerLinks(loop, here, 1);
    const auto receiver = makePeerLinks(loop, there, 1);
    std::size_t received = 0;
    sender->setHandlers([](const InstanceId &, const PeerMessage &) {}, [](const InstanceId &) { require(false, "a link was lost"); });
    receiver->setHandlers([&](const InstanceId &, const PeerMessage &) { ++received; }, [](const InstanceId &) {});
    sender->setPeer(there, receiver->listen(AnyPort).value());
    const auto runs = timeRuns(Runs, static_cast<double>(Batches * perFrame), [&] {
        for (std::size_t batch = 0; batch < Batches; ++batch) {
            const std::size_t target = received + perFrame;
            for (std::size_t i = 0; i < perFrame; ++i) {
                require(sender->send(there, message), "a message was refused");
            }
            require(loop.runUntil([&] { return received == target; }, Timeout), "messages did not arrive");
        }
    });
    printMinMedianMax((name + "." + std::to_string(perFrame) + "-a-frame").c_str(), runs, "us/message, both ends");
}

/// Memory of open links from many peers to one central instance, all in this process.
void benchMemory()
{
    std::vector<std::pair<double, double>> points;
    for (const std::size_t count : {50, 100, 200, 400}) {
        EventLoop loop;
        const auto centre = makePeerLinks(loop, InstanceId("centre"), 1);
        const Address address = centre->listen(AnyPort).value();
        centre->setHandlers([](const InstanceId &, const PeerMessage &) {}, [](const InstanceId &) {});
        std::vector<std::unique_ptr<PeerLinks>> peers;
        for (std::size_t i = 0; i < count; ++i) {
            peers.push_back(makePeerLinks(loop, InstanceId("peer-" + std::to_string(i)), 1));
            peers.back()->setHandlers([](const InstanceId &, const PeerMessage &) {}, [](const InstanceId &) {});
        }
        const double before = allocatedBytes();
        for (const auto &peer : peers) {
            peer->setPeer(InstanceId("centre"), address);
            require(peer->send(InstanceId("centre"), CancelSubRequest{}), "a message was refused");
        }
        const auto allOpen = [&] { return centre->openLinks() == count && centre->counters().messagesReceived == 2 * count; };
        require(loop.runUntil(allOpen, Timeout), "links did not open");
        loop.runUntil([] { return false; }, std::chrono::milliseconds(50));
        const double bytes = allocatedBytes() - before;
        printValue(("link.memory.both-ends." + std::to_string(count)).c_str(), bytes / 1024, "KiB");
        points.emplace_back(static_cast<double>(count), bytes);
    }
    // The two ends of each link are both in this process and have nearly the same size.
    printValue("link.memory.per-end.slope", slope(points) / 2 / 1024, "KiB/link");
}

} // namespace

void benchLinks()
{
    for (const std::size_t perFrame : {1, 8, 20}) {
        benchMessages(perFrame, CancelSubRequest{exampleSubRequest().id}, "link.cancel");
        benchMessages(perFrame, exampleSubRequest(), "link.subrequest");
        benchMessages(perFrame, exampleSubReply(), "link.subreply");
    }
    benchMemory();
}

} // namespace Burdock::Bench
