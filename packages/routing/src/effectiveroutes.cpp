#include <burdock/routing/effectiveroutes.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

std::shared_ptr<const Route> makeRoute(const Route &route, const Workspace &workspace)
{
    Route made = route;
    made.priority = workspace.priority.value_or(route.priority);
    if (route.regions.empty()) {
        made.regions = workspace.regions;
    } else if (!workspace.regions.empty()) {
        const auto isForbidden = [&workspace](const Region &region) {
            return std::find(workspace.regions.begin(), workspace.regions.end(), region) == workspace.regions.end();
        };
        made.regions.erase(std::remove_if(made.regions.begin(), made.regions.end(), isForbidden), made.regions.end());
        if (made.regions.empty()) {
            return nullptr;
        }
    }
    return std::make_shared<const Route>(std::move(made));
}

} // namespace

EffectiveRoutes::EffectiveRoutes(std::shared_ptr<const RouteTable> routes)
    : routes_(std::move(routes))
{
}

std::shared_ptr<const Route> EffectiveRoutes::find(const std::shared_ptr<const Route> &route, const Workspace &workspace)
{
    if (!workspace.priority && workspace.regions.empty()) {
        return route;
    }
    const Route *plain = route.get();
    const auto found = made_.find(std::tie(plain, workspace.priority, workspace.regions));
    if (found != made_.end()) {
        return found->second;
    }
    return made_.emplace(Key(plain, workspace.priority, workspace.regions), makeRoute(*route, workspace)).first->second;
}

} // namespace Burdock
