#include <burdock/daemon/directory.h>

#include <utility>

namespace Burdock
{

bool Directory::updateList(const InstanceList &list)
{
    if (list.version < list_.version) {
        return false;
    }
    list_ = list;
    servers_.clear();
    holders_.clear();
    for (const ListedServer &server : list_.servers) {
        servers_.emplace(server.id, server);
    }
    holderChoice_ = HolderChoice(live_, list_.servers);
    return true;
}

void Directory::updateLive(std::vector<ListedInstance> live)
{
    live_ = std::move(live);
    holderChoice_ = HolderChoice(live_, list_.servers);
    holders_.clear();
}

std::optional<Address> Directory::serverAddress(const ServerId &server) const
{
    const ListedServer *listed = this->server(server);
    return listed != nullptr ? std::optional<Address>(listed->address) : std::nullopt;
}

const ListedServer *Directory::server(const ServerId &server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? nullptr : &found->second;
}

const std::vector<InstanceId> &Directory::holders(const ServerId &server) const
{
    const auto cached = holders_.find(server);
    if (cached != holders_.end()) {
        return cached->second;
    }
    const ListedServer *listed = this->server(server);
    return holders_.emplace(server, listed != nullptr ? holderChoice_.holdersOf(*listed) : std::vector<InstanceId>{}).first->second;
}

const InstanceList &Directory::list() const
{
    return list_;
}

const std::vector<ListedInstance> &Directory::live() const
{
    return live_;
}

} // namespace Burdock
