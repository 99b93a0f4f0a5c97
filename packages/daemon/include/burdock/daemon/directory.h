#pragma once

#include <burdock/policy/holderchoice.h>
#include <burdock/values/place.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace Burdock
{

/// The servers and instances that this instance knows: the platform's instance list combined with the live peers.
class Directory
{
public:
    /// Replaces the instance list. Returns false and changes nothing if `list` is older than the current one.
    bool updateList(const InstanceList &list);

    /// Replaces the instances that are live and not leaving, including this one.
    void updateLive(std::vector<ListedInstance> live);

    /// Returns the address of a server, or nothing if it is not listed.
    std::optional<Address> serverAddress(const ServerId &server) const;

    /// Returns the listed server with this id, or null.
    const ListedServer *server(const ServerId &server) const;

    /// Returns the holders of a server in order of preference, or none if it is not listed.
    const std::vector<InstanceId> &holders(const ServerId &server) const;

    const InstanceList &list() const;
    const std::vector<ListedInstance> &live() const;

private:
    HolderChoice holderChoice_{{}};
    InstanceList list_;
    std::unordered_map<ServerId, ListedServer> servers_;
    std::vector<ListedInstance> live_;
    mutable std::unordered_map<ServerId, std::vector<InstanceId>> holders_;
};

} // namespace Burdock
