#include <burdock/routing/requestadmission.h>

#include <utility>

namespace Burdock
{

namespace
{

/// The suggested retry delay of a request that may be served in no region: only another configuration changes that.
constexpr Duration NoRegionRetryAfter = std::chrono::seconds(60);

/// Whether a peer has found the workspace of the request, and charged its rate.
bool isIdentified(const ClientRequest &request)
{
    return request.passedOn && !request.passedOn->workspace.empty();
}

} // namespace

RequestAdmission::RequestAdmission(RateLimiter &rates, RoutingCounters &counters)
    : rates_(rates)
    , counters_(counters)
{
}

void RequestAdmission::setRoutes(std::shared_ptr<const RouteTable> routes)
{
    withdrawals_.onConfig(routes->config(), routes_ ? &routes_->config() : nullptr);
    routes_ = std::move(routes);
    effective_.emplace(routes_);
}

tl::expected<const Workspace *, ClientAnswer> RequestAdmission::findNamedWorkspace(const PassOnTerms &terms)
{
    const Workspace *workspace = routes_->workspaces().findByName(terms.workspace);
    if (workspace == nullptr) {
        ++counters_.refusedUnknownKey;
        return tl::make_unexpected(refusal(AnswerStatus::Unauthorized, "the configuration has no workspace " + terms.workspace + " any more"));
    }
    if (withdrawals_.mayBeWithdrawn(terms.workspace, terms.workspaceConfig)) {
        ClientAnswer answer = refusal(AnswerStatus::Unavailable, "a key of workspace " + terms.workspace + " may have been withdrawn since it was looked up");
        answer.inability = ClientAnswer::Inability::Configuration;
        return tl::make_unexpected(std::move(answer));
    }
    return workspace;
}

tl::expected<const Workspace *, ClientAnswer> RequestAdmission::findWorkspace(const ClientRequest &request)
{
    if (isIdentified(request)) {
        return findNamedWorkspace(*request.passedOn);
    }
    if (request.key.empty()) {
        ++counters_.refusedWithoutKey;
        return tl::make_unexpected(refusal(AnswerStatus::Unauthorized, "the request has no key"));
    }
    const Workspace *workspace = routes_->workspaces().findByKey(request.key);
    if (workspace == nullptr) {
        ++counters_.refusedUnknownKey;
        return tl::make_unexpected(refusal(AnswerStatus::Unauthorized, "no workspace holds the key of the request"));
    }
    return workspace;
}

RequestAdmission::Outcome RequestAdmission::admit(const ClientRequest &request, std::shared_ptr<const Route> route)
{
    Outcome outcome;
    if (!routes_->config().needsKeys || route->open) {
        outcome.route = std::move(route);
        return outcome;
    }
    auto found = findWorkspace(request);
    if (!found) {
        outcome.refused = std::move(found.error());
        return outcome;
    }
    const Workspace *workspace = *found;
    outcome.route = effective_->find(route, *workspace);
    if (!outcome.route) {
        ++counters_.refusedNoRegion;
        const std::string reason = "workspace " + workspace->name + " and the route may be served in no common region";
        outcome.refused = refusal(AnswerStatus::Unavailable, reason, NoRegionRetryAfter);
        return outcome;
    }
    outcome.workspace = workspace->name;
    if (workspace->rate.isLimited() && !isIdentified(request)) {
        outcome.claim = std::make_unique<RateClaim>(rates_, workspace->name, workspace->rate);
    }
    return outcome;
}

} // namespace Burdock
