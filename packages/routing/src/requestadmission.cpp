#include <burdock/routing/requestadmission.h>

#include <utility>

namespace Burdock
{

namespace
{

/// The suggested retry delay of a request that may be served in no region: only another configuration changes that.
constexpr Duration NoRegionRetryAfter = std::chrono::seconds(60);

} // namespace

RequestAdmission::RequestAdmission(RateLimiter &rates, RoutingCounters &counters)
    : rates_(rates)
    , counters_(counters)
{
}

void RequestAdmission::setRoutes(std::shared_ptr<const RouteTable> routes)
{
    routes_ = std::move(routes);
    effective_.emplace(routes_);
}

const Workspace *RequestAdmission::findWorkspace(const ClientRequest &request, Outcome &outcome)
{
    const WorkspaceTable &workspaces = routes_->workspaces();
    const bool isNamed = request.passedOn && !request.passedOn->workspace.empty();
    const Workspace *workspace = isNamed ? workspaces.findByName(request.passedOn->workspace) : workspaces.findByKey(request.key);
    if (workspace != nullptr) {
        return workspace;
    }
    if (isNamed) {
        ++counters_.refusedUnknownKey;
        outcome.refused = refusal(AnswerStatus::Unauthorized, "the configuration has no workspace " + request.passedOn->workspace + " any more");
    } else if (request.key.empty()) {
        ++counters_.refusedWithoutKey;
        outcome.refused = refusal(AnswerStatus::Unauthorized, "the request has no key");
    } else {
        ++counters_.refusedUnknownKey;
        outcome.refused = refusal(AnswerStatus::Unauthorized, "no workspace holds the key of the request");
    }
    return nullptr;
}

RequestAdmission::Outcome RequestAdmission::admit(const ClientRequest &request, std::shared_ptr<const Route> route)
{
    Outcome outcome;
    if (!routes_->config().needsKeys || route->open) {
        outcome.route = std::move(route);
        return outcome;
    }
    const Workspace *workspace = findWorkspace(request, outcome);
    if (workspace == nullptr) {
        return outcome;
    }
    outcome.route = effective_->find(route, *workspace);
    if (!outcome.route) {
        ++counters_.refusedEverywhere;
        const std::string reason = "workspace " + workspace->name + " and the route may be served in no common region";
        outcome.refused = refusal(AnswerStatus::Unavailable, reason, NoRegionRetryAfter);
        return outcome;
    }
    outcome.workspace = workspace->name;
    const bool isCharged = request.passedOn && !request.passedOn->workspace.empty();
    if (workspace->rate.isLimited() && !isCharged) {
        outcome.claim = std::make_unique<RateClaim>(rates_, workspace->name, workspace->rate);
    }
    return outcome;
}

} // namespace Burdock
