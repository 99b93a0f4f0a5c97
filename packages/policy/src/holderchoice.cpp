#include <burdock/policy/holderchoice.h>
#include <burdock/policy/rendezvous.h>

#include <algorithm>

namespace Burdock
{

namespace
{

/// The best nodes of one distance, the best first. Holds at most as many as are still wanted.
class Best
{
public:
    Best(std::uint64_t key, std::size_t wanted)
        : key_(key)
        , wanted_(wanted)
    {
    }

    template<class Nodes>
    void offer(const Nodes &nodes)
    {
        for (const auto &node : nodes) {
            offerOne(node.id, rendezvousWeight(key_, node.hash));
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
        if (best_.size() == wanted_ && !(candidate < best_.back())) {
            return;
        }
        best_.insert(std::upper_bound(best_.begin(), best_.end(), candidate), candidate);
        if (best_.size() > wanted_) {
            best_.pop_back();
        }
    }

    std::uint64_t key_;
    std::size_t wanted_;
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

HolderChoice::HolderChoice(const std::vector<ListedInstance> &live)
{
    for (const ListedInstance &instance : live) {
        nodes_[instance.place].push_back({instance.id, rendezvousHash(instance.id.text())});
    }
}

std::vector<InstanceId> HolderChoice::holdersOf(const ListedServer &server) const
{
    const std::uint64_t key = rendezvousHash(server.id.text());
    std::vector<InstanceId> holders;
    for (const Distance distance : {Distance::SameDataCentre, Distance::SameRegion, Distance::OtherRegion}) {
        if (holders.size() == HoldersPerServer) {
            break;
        }
        Best best(key, HoldersPerServer - holders.size());
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

std::vector<InstanceId> holdersOf(const ListedServer &server, const std::vector<ListedInstance> &live)
{
    return HolderChoice(live).holdersOf(server);
}

} // namespace Burdock
