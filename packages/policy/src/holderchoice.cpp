#include "holderchoicebound.h"

#include <burdock/policy/holderchoice.h>
#include <burdock/policy/rendezvous.h>

#include <algorithm>
#include <cmath>

namespace Burdock
{

namespace
{

/// The nodes with the highest weights at one distance, at most `limit`, highest first.
class TopNodes
{
public:
    TopNodes(std::uint64_t key, std::size_t limit, const InstanceId *excluded)
        : key_(key)
        , limit_(limit)
        , excluded_(excluded)
    {
    }

    template<class Nodes>
    void offer(const Nodes &nodes)
    {
        for (const auto &node : nodes) {
            if (excluded_ == nullptr || node.id != *excluded_) {
                offerOne(node.id, rendezvousWeight(key_, node.hash));
            }
        }
    }

    void appendTo(std::vector<InstanceId> &holders) const
    {
        for (const Candidate &candidate : best_) {
            holders.push_back(*candidate.id);
        }
    }

private:
    struct Candidate
    {
        const InstanceId *id;
        std::uint64_t weight;

        bool operator<(const Candidate &other) const
        {
            return weight != other.weight ? weight > other.weight : *id < *other.id;
        }
    };

    void offerOne(const InstanceId &id, std::uint64_t weight)
    {
        const Candidate candidate{&id, weight};
        if (best_.size() == limit_ && !(candidate < best_.back())) {
            return;
        }
        best_.insert(std::upper_bound(best_.begin(), best_.end(), candidate), candidate);
        if (best_.size() > limit_) {
            best_.pop_back();
        }
    }

    std::uint64_t key_;
    std::size_t limit_;
    const InstanceId *excluded_;
    std::vector<Candidate> best_;
};

} // namespace

Distance distanceBetween(const Place &a, const Place &b)
{
    if (a.region != b.region) {
        return Distance::OtherRegion;
    }
    return a.dataCentre == b.dataCentre ? Distance::SameDataCentre : Distance::SameRegion;
}

HolderChoice::HolderChoice(const std::vector<ListedInstance> &live, const std::vector<ListedServer> &servers)
{
    for (const ListedInstance &instance : live) {
        nodes_[instance.place].push_back({instance.id, rendezvousHash(instance.id.text())});
    }
    std::map<Place, std::vector<const ListedServer *>> byPlace;
    for (const ListedServer &server : servers) {
        byPlace[server.place].push_back(&server);
    }
    for (const auto &[place, placeServers] : byPlace) {
        const auto nodes = nodes_.find(place);
        if (nodes != nodes_.end()) {
            assign(nodes->second, placeServers);
        }
    }
}

void HolderChoice::assign(const std::vector<Node> &nodes, const std::vector<const ListedServer *> &servers)
{
    std::vector<std::uint64_t> serverHashes;
    serverHashes.reserve(servers.size());
    for (const ListedServer *server : servers) {
        serverHashes.push_back(rendezvousHash(server->id.text()));
    }
    std::vector<std::uint64_t> nodeHashes;
    nodeHashes.reserve(nodes.size());
    for (const Node &node : nodes) {
        nodeHashes.push_back(node.hash);
    }
    const double mean = static_cast<double>(servers.size()) / static_cast<double>(nodes.size());
    const std::vector<std::size_t> assigned = assignBounded(serverHashes, nodeHashes, static_cast<std::size_t>(std::ceil(MaxHolderLoadFactor * mean)));
    for (std::size_t index = 0; index < servers.size(); ++index) {
        assigned_.emplace(servers[index]->id, nodes[assigned[index]].id);
    }
}

std::vector<InstanceId> HolderChoice::holdersOf(const ListedServer &server) const
{
    const std::uint64_t key = rendezvousHash(server.id.text());
    std::vector<InstanceId> holders;
    const auto assigned = assigned_.find(server.id);
    if (assigned != assigned_.end()) {
        holders.push_back(assigned->second);
    }
    const InstanceId *first = assigned != assigned_.end() ? &assigned->second : nullptr;
    for (const Distance distance : {Distance::SameDataCentre, Distance::SameRegion, Distance::OtherRegion}) {
        if (holders.size() == HoldersPerServer) {
            break;
        }
        TopNodes best(key, HoldersPerServer - holders.size(), first);
        for (const auto &[place, nodes] : nodes_) {
            if (distanceBetween(server.place, place) == distance) {
                best.offer(nodes);
            }
        }
        best.appendTo(holders);
    }
    return holders;
}

bool HolderChoice::holds(const InstanceId &instance, const ListedServer &server) const
{
    const std::vector<InstanceId> holders = holdersOf(server);
    return std::find(holders.begin(), holders.end(), instance) != holders.end();
}

} // namespace Burdock
