#pragma once

#include <burdock/values/place.h>

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace Burdock
{

/// The distance between two places, in increasing order.
enum class Distance {
    SameDataCentre,
    SameRegion,
    OtherRegion,
};

/// Returns the distance between two places. Data centres with the same name in different regions are distinct.
Distance distanceBetween(const Place &a, const Place &b);

/// The number of instances that hold each backend server.
constexpr std::size_t HoldersPerServer = 2;

/// Within one data centre, no instance is first holder of more than this many times the mean number of servers.
constexpr double MaxHolderLoadFactor = 1.25;

/// Assigns backend servers to the instances that hold them.
///
/// Instances in the data centre of the server are preferred, then those in its region, then all others; within one
/// distance rendezvous hashing decides. With many instances and few servers in a data centre, plain hashing would
/// give some instances several times the mean. So no instance is first holder of more than MaxHolderLoadFactor times
/// the mean; its servers of lowest weight above that go to the next instance in their order. Entries send to the
/// first of two holders and use the second while the first does not answer. No agreement is needed: instances with
/// different views of the members spread a server over more holders for a while, and the server's own limit bounds
/// the effect.
///
/// A choice is immutable; a new view of the members needs a new choice.
class HolderChoice
{
public:
    /// `live` are the instances that accept new work: alive, ready and not leaving. `servers` are all listed servers;
    /// other servers are not balanced.
    explicit HolderChoice(const std::vector<ListedInstance> &live, const std::vector<ListedServer> &servers = {});

    /// Returns the holders of a server, first holder first; fewer than HoldersPerServer if there are not enough
    /// instances.
    std::vector<InstanceId> holdersOf(const ListedServer &server) const;

    /// Returns true if the instance is one of the holders of the server.
    bool holds(const InstanceId &instance, const ListedServer &server) const;

private:
    struct Node
    {
        InstanceId id;
        std::uint64_t hash;
    };

    void assign(const std::vector<Node> &nodes, const std::vector<const ListedServer *> &servers);

    std::map<Place, std::vector<Node>> nodes_;
    /// The first holders of servers that have an instance in their data centre.
    std::unordered_map<ServerId, InstanceId> assigned_;
};

} // namespace Burdock
