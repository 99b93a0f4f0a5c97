#include <burdock/routing/routetable.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace Burdock
{

namespace
{

/// Returns the host name in lower case, without the port.
std::string hostName(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return name;
}

} // namespace

RouteTable::RouteTable(std::shared_ptr<const RoutingConfig> config)
    : config_(std::move(config))
    , workspaces_(*config_)
{
    for (const Route &route : config_->routes) {
        hosts_[hostName(route.host)].push_back(&route);
    }
    for (auto &[host, routes] : hosts_) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *a, const Route *b) { return a->prefix.size() > b->prefix.size(); });
    }
}

std::shared_ptr<const Route> RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto found = hosts_.find(hostName(host));
    if (found == hosts_.end()) {
        return nullptr;
    }
    for (const Route *route : found->second) {
        if (path.substr(0, route->prefix.size()) == route->prefix) {
            return {config_, route};
        }
    }
    return nullptr;
}

} // namespace Burdock
