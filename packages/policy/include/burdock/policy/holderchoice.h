#pragma once

#include <burdock/values/place.h>

#include <cstdint>
#include <map>
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

/// Which instances hold which backend servers.
///
/// The instances of the server's data centre come first, then those of its region, then all others; within one
/// distance rendezvous hashing decides. The first two hold the server: entries send to the first and use the second while
/// the first does not answer. Nobody has to agree: instances whose views of the members differ share a server among
/// more holders for a while, and the server's own cap bounds the harm.
///
/// A choice is made from one view of the members and never changes; a new view makes a new choice.
class HolderChoice
{
public:
    /// `live` are the instances that may get new work: alive, ready, and not leaving.
    explicit HolderChoice(const std::vector<ListedInstance> &live);

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

    std::map<Place, std::vector<Node>> nodes_;
};

/// The holders of one server; see HolderChoice, which is cheaper for many servers.
std::vector<InstanceId> holdersOf(const ListedServer &server, const std::vector<ListedInstance> &live);

} // namespace Burdock
