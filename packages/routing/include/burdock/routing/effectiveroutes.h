#pragma once

#include <burdock/routing/routetable.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <tuple>
#include <vector>

namespace Burdock
{

/// Gives the routes of one configuration as they hold for the requests of a workspace.
///
/// The workspace's priority replaces the route's, and only the regions remain that both allow. Each combination is made once.
class EffectiveRoutes
{
public:
    explicit EffectiveRoutes(std::shared_ptr<const RouteTable> routes);

    /// Returns the route as it holds for the workspace, or null if the two have no region in common, so that no server may get the request.
    std::shared_ptr<const Route> find(const std::shared_ptr<const Route> &route, const Workspace &workspace);

private:
    using Key = std::tuple<const Route *, std::optional<std::int64_t>, std::vector<Region>>;

    /// Keeps the routes that the keys below point to.
    std::shared_ptr<const RouteTable> routes_;
    std::map<Key, std::shared_ptr<const Route>, std::less<>> made_;
};

} // namespace Burdock
