#pragma once

#include <burdock/policy/holderchoice.h>
#include <burdock/values/place.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace Burdock
{

/// What this instance knows of servers and instances: the platform's list together with the live peers.
class Directory
{
public:
    /// Takes over a list; an older one is ignored and gives false.
    bool updateList(const InstanceList &list);

    /// Takes over the instances that are live and not leaving, this one included.
    void updateLive(std::vector<ListedInstance> live);

    /// The address of a server; nothing where it is not listed.
    std::optional<Address> serverAddress(const ServerId &server) const;

    /// The listed server of that name, or null.
    const ListedServer *server(const ServerId &server) const;

    /// The holders of a server, preferred first.
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
