#pragma once

#include <burdock/wire/factories.h>
#include <burdock/wire/memorybudget.h>

#include <string>
#include <utility>
#include <vector>

namespace Burdock
{

constexpr Duration TestTimeout = std::chrono::seconds(5);

/// The links of one instance, with the messages and lost peers that they reported.
struct Node
{
    Node(EventLoop &loop, const std::string &name, std::uint64_t incarnation = 1, std::shared_ptr<MemoryBudget> memory = nullptr)
        : id(name)
        , links(makePeerLinks(loop, id, incarnation, std::move(memory)))
        , address(links->listen({"127.0.0.1", 0}).value())
    {
        links->setHandlers([this](const InstanceId &from, PeerMessage message) { received.emplace_back(from, std::move(message)); },
                           [this](const InstanceId &peer) { lost.push_back(peer); });
    }

    InstanceId id;
    std::unique_ptr<PeerLinks> links;
    Address address;
    std::vector<std::pair<InstanceId, PeerMessage>> received;
    std::vector<InstanceId> lost;
};

/// A small message that is identified by its number.
inline PeerMessage numbered(std::uint64_t number)
{
    return CancelSubRequest{{InstanceId("x"), 1, number}};
}

/// The numbers of the received messages, in order of arrival.
inline std::vector<std::uint64_t> numbers(const Node &node)
{
    std::vector<std::uint64_t> all;
    for (const auto &[from, message] : node.received) {
        all.push_back(std::get<CancelSubRequest>(message).id.number);
    }
    return all;
}

} // namespace Burdock
