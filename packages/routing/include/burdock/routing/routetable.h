#pragma once

#include <burdock/routing/routingconfig.h>
#include <burdock/routing/workspacetable.h>

#include <memory>
#include <string_view>
#include <unordered_map>

namespace Burdock
{

/// Finds the route of a request: the host's route with the longest matching path prefix.
class RouteTable
{
public:
    explicit RouteTable(std::shared_ptr<const RoutingConfig> config);

    /// Returns the route, or null if none matches. The pointer keeps the configuration alive. A port in `host` is ignored.
    std::shared_ptr<const Route> find(std::string_view host, std::string_view path) const;

    const RoutingConfig &config() const
    {
        return *config_;
    }

    const WorkspaceTable &workspaces() const
    {
        return workspaces_;
    }

private:
    std::shared_ptr<const RoutingConfig> config_;
    WorkspaceTable workspaces_;
    /// Routes by host name, longest prefix first.
    std::unordered_map<std::string, std::vector<const Route *>> hosts_;
};

} // namespace Burdock
