#include <burdock/daemon/backendlives.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Burdock
{

BackendLives::BackendLives(Runtime &runtime, ChangeHandler changed)
    : runtime_(runtime)
    , changed_(std::move(changed))
{
}

void BackendLives::updateList(const InstanceList &list)
{
    std::set<ServerId> named;
    for (const ListedServer &server : list.servers) {
        named.insert(server.id);
        std::unique_ptr<BackendLife> &life = lives_[server.id];
        if (life) {
            life->listed(server);
            continue;
        }
        life = std::make_unique<BackendLife>(runtime_, BackendLifeSettings{}, server, [this, id = server.id](BackendState state) { changed_(id, state); });
        changed_(server.id, life->state());
    }
    for (auto life = lives_.begin(); life != lives_.end();) {
        if (named.count(life->first) > 0) {
            ++life;
            continue;
        }
        life->second->unlisted();
        life = lives_.erase(life);
    }
}

void BackendLives::replied(const ServerId &server, bool draining, TimePoint dispatched)
{
    const auto found = lives_.find(server);
    if (found != lives_.end()) {
        found->second->replied(draining, dispatched);
    }
}

void BackendLives::reported(const InstanceId &peer, const ServerReport &report)
{
    const auto found = lives_.find(report.server);
    if (found != lives_.end()) {
        found->second->reported(peer, report.draining);
    }
}

std::size_t BackendLives::count(BackendState state) const
{
    return static_cast<std::size_t>(std::count_if(lives_.begin(), lives_.end(), [state](const auto &entry) { return entry.second->state() == state; }));
}

} // namespace Burdock
