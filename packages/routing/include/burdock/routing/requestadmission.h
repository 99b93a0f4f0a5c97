#pragma once

#include <burdock/routing/clientanswer.h>
#include <burdock/routing/effectiveroutes.h>
#include <burdock/routing/keywithdrawals.h>
#include <burdock/routing/rateclaim.h>
#include <burdock/routing/routingcontext.h>

#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace Burdock
{

/// Decides for each request which workspace it belongs to, how its route holds for that workspace, and whether it needs a part of the
/// workspace's rate. It answers the load of callers who share the servers and are held apart by their keys.
///
/// A request that a peer passed on names the workspace that the peer found, and the peer has charged its rate. It is refused if the
/// peer found it by a configuration older than the last withdrawal of one of the workspace's keys. One from a peer of an earlier build,
/// which knows no keys, still has the client's key and is treated like a client's.
class RequestAdmission
{
public:
    struct Outcome
    {
        /// Set if the request is refused.
        std::optional<ClientAnswer> refused;
        /// The route as it holds for the workspace.
        std::shared_ptr<const Route> route;
        /// The name of the workspace; empty if the request needs none.
        std::string workspace;
        /// Set if the request may start only once the claim is admitted.
        std::unique_ptr<RateClaim> claim;
    };

    RequestAdmission(RateLimiter &rates, RoutingCounters &counters);

    /// Sets the configuration that new requests are decided by.
    void setRoutes(std::shared_ptr<const RouteTable> routes);

    /// Decides on a request to the route. The routes must have been set.
    Outcome admit(const ClientRequest &request, std::shared_ptr<const Route> route);

private:
    /// Returns the workspace of the request or a refusal.
    tl::expected<const Workspace *, ClientAnswer> findWorkspace(const ClientRequest &request);
    tl::expected<const Workspace *, ClientAnswer> findNamedWorkspace(const PassOnTerms &terms);

    RateLimiter &rates_;
    RoutingCounters &counters_;
    std::shared_ptr<const RouteTable> routes_;
    std::optional<EffectiveRoutes> effective_;
    KeyWithdrawals withdrawals_;
};

} // namespace Burdock
