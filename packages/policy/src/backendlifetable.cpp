#include <burdock/policy/backendlifetable.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// How long a server that left the list is kept, with the reports about it.
constexpr Duration GoneRetention = std::chrono::minutes(10);

} // namespace

BackendLifeTable::BackendLifeTable(Runtime &runtime, const BackendLifeSettings &settings, ChangeHandler changed)
    : runtime_(runtime)
    , settings_(settings)
    , changed_(std::move(changed))
{
}

void BackendLifeTable::onInstanceList(const InstanceList &list)
{
    if (list.version <= version_) {
        return;
    }
    version_ = list.version;
    for (const ListedServer &server : list.servers) {
        updateServer(server);
    }
    for (auto entry = servers_.begin(); entry != servers_.end();) {
        if (entry->second.listedVersion != version_) {
            entry->second.life->onUnlisted();
        }
        const bool forget = runtime_.now() - entry->second.lastListed > GoneRetention;
        entry = forget ? servers_.erase(entry) : std::next(entry);
    }
}

void BackendLifeTable::updateServer(const ListedServer &server)
{
    Entry &entry = servers_[server.id];
    entry.listedVersion = version_;
    entry.lastListed = runtime_.now();
    if (entry.life) {
        entry.life->onListed(server);
        return;
    }
    entry.life = std::make_unique<BackendLife>(runtime_, settings_, server, [this, id = server.id](BackendState state) { changed_(id, state); });
}

void BackendLifeTable::onDispatched(const ServerId &server)
{
    if (BackendLife *life = find(server)) {
        life->onDispatched();
    }
}

void BackendLifeTable::onReply(const ServerId &server, bool draining, TimePoint dispatched)
{
    if (BackendLife *life = find(server)) {
        life->onReply(draining, dispatched);
    }
}

void BackendLifeTable::onPeerReport(const InstanceId &peer, const ServerReport &report)
{
    if (BackendLife *life = find(report.server)) {
        life->onPeerReport(peer, report.draining);
    }
}

void BackendLifeTable::onHealthStatus(const ServerId &server, bool draining)
{
    if (BackendLife *life = find(server)) {
        life->onHealthStatus(draining);
    }
}

bool BackendLifeTable::acceptsWork(const ServerId &server) const
{
    const BackendLife *life = find(server);
    return life != nullptr && life->acceptsWork();
}

BackendState BackendLifeTable::state(const ServerId &server) const
{
    const BackendLife *life = find(server);
    return life == nullptr ? BackendState::Gone : life->state();
}

std::size_t BackendLifeTable::count(BackendState state) const
{
    const auto matches = [state](const auto &entry) { return entry.second.life->state() == state; };
    return static_cast<std::size_t>(std::count_if(servers_.begin(), servers_.end(), matches));
}

std::uint64_t BackendLifeTable::unknownSignals() const
{
    return unknownSignals_;
}

BackendLife *BackendLifeTable::find(const ServerId &server)
{
    const auto found = servers_.find(server);
    unknownSignals_ += found == servers_.end() ? 1 : 0;
    return found == servers_.end() ? nullptr : found->second.life.get();
}

const BackendLife *BackendLifeTable::find(const ServerId &server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? nullptr : found->second.life.get();
}

} // namespace Burdock
