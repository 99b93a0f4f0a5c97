#pragma once

#include <burdock/values/place.h>

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace Burdock
{

/// How far apart two places are, nearest first.
enum class Distance {
    SameDataCentre,
    SameRegion,
    OtherRegion,
};

/// The distance between two places. Data centres of the same name in different regions are different.
Distance distanceBetween(const Place &a, const Place &b);

/// How many instances hold each backend server.
constexpr std::size_t HoldersPerServer = 2;

/// The first holders of one data centre's servers have at most this many times the mean.
constexpr double MaxHolderLoadFactor = 1.25;

/// Which instances hold which backend servers.
///
/// The instances of the server's data centre come first, then those of its region, then all others; within one
/// distance rendezvous hashing decides. Where many instances share few servers of their data centre, chance would give some
/// of them several times the mean; so no instance is first holder of more than MaxHolderLoadFactor times the mean, and the servers
/// that weigh least there go to the next in their order. The first two hold the server: entries send to the first and use the second while
/// the first does not answer. Nobody has to agree: instances whose views of the members differ share a server among
/// more holders for a while, and the server's own cap bounds the harm.
///
/// A choice is made from one view of the members and never changes; a new view makes a new choice.
class HolderChoice
{
public:
    /// `live` are the instances that may get new work: alive, ready, and not leaving. `servers` are all listed servers;
    /// those that are not among them are not balanced.
    explicit HolderChoice(const std::vector<ListedInstance> &live, const std::vector<ListedServer> &servers = {});

    /// The holders of a server, the first one first; fewer than HoldersPerServer where there are not enough instances.
    std::vector<InstanceId> holdersOf(const ListedServer &server) const;

    /// True where the instance is among the holders of the server.
    bool holds(const InstanceId &instance, const ListedServer &server) const;

private:
    struct Node
    {
        InstanceId id;
        std::uint64_t hash;
    };

    void assign(const std::vector<Node> &nodes, const std::vector<const ListedServer *> &servers);

    std::map<Place, std::vector<Node>> nodes_;
    /// The first holders of the servers that share their data centre with an instance.
    std::unordered_map<ServerId, InstanceId> assigned_;
};

} // namespace Burdock
