#pragma once

#include <burdock/routing/routingconfig.h>

#include <memory>
#include <string_view>
#include <unordered_map>

namespace Burdock
{

/// Finds the route of a request: of the host's routes the one with the longest prefix that begins the path.
class RouteTable
{
public:
    explicit RouteTable(std::shared_ptr<const RoutingConfig> config);

    /// The route; null where none matches. Shares the life of the configuration. A port in `host` is ignored.
    std::shared_ptr<const Route> find(std::string_view host, std::string_view path) const;

    const RoutingConfig &config() const
    {
        return *config_;
    }

private:
    std::shared_ptr<const RoutingConfig> config_;
    /// Longest prefix first.
    std::unordered_map<std::string, std::vector<const Route *>> hosts_;
};

} // namespace Burdock
