#include <burdock/routing/requestdesk.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// For how long a hedge's loser may still end by itself, which saves its connection.
constexpr Duration LoserTime = std::chrono::milliseconds(350);
/// When a request that no server could take is worth another try: a server rests about as long after a refusal. Less urgent
/// requests come back later, and none together.
constexpr Duration FirstReturn = std::chrono::milliseconds(150);
constexpr Duration ReturnPerPriority = std::chrono::milliseconds(200);
constexpr double ReturnSpread = 0.5;
/// When an instance without a configuration is worth another try: it lacks one for about as long again as it has lacked it.
constexpr Duration EarliestStartingReturn = std::chrono::milliseconds(400);
constexpr Duration LatestStartingReturn = std::chrono::milliseconds(2500);

std::string_view pathOf(const std::string &target)
{
    return std::string_view(target).substr(0, target.find('?'));
}

} // namespace

RequestDesk::RequestDesk(RoutingContext &context, std::uint64_t seed)
    : context_(context)
    , random_(seed)
    , started_(context.runtime.now())
{
}

RequestDesk::~RequestDesk()
{
    for (const auto &[id, entry] : entries_) {
        context_.runtime.cancel(entry.removal);
    }
}

void RequestDesk::setRoutes(std::shared_ptr<const RouteTable> routes)
{
    routes_ = std::move(routes);
}

Duration RequestDesk::retryAfter(const Route &route)
{
    return spread(FirstReturn + ReturnPerPriority * std::max<std::int64_t>(route.priority, 0));
}

Duration RequestDesk::spread(Duration span)
{
    const double factor = 1 + ReturnSpread * std::uniform_real_distribution<double>()(random_);
    return Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
}

std::unique_ptr<RequestRun> RequestDesk::makeRun(const RunTerms &terms)
{
    if (!terms.route->shards.empty()) {
        return makeGatherRun(context_, terms);
    }
    return makeForwardRun(context_, terms, split_.next(*terms.route));
}

DeskId RequestDesk::serve(ClientRequest request, Answered answered)
{
    const DeskId id = ++last_;
    if (!routes_) {
        const Duration lacking = std::clamp(context_.runtime.now() - started_, EarliestStartingReturn, LatestStartingReturn);
        answered(nullptr, refusal(AnswerStatus::Unavailable, "no configuration is known yet", spread(lacking)));
        return id;
    }
    const auto host = request.headers.find("host");
    const auto route = host == request.headers.end() ? nullptr : routes_->find(host->second, pathOf(request.target));
    if (!route) {
        answered(nullptr, refusal(AnswerStatus::NotFound, "no route for this host and path"));
        return id;
    }
    const Duration patience = std::min(request.patience.value_or(route->timeout), route->timeout);
    const auto shared = std::make_shared<const ClientRequest>(std::move(request));
    const RunTerms terms{route, shared, shared->arrived + patience, retryAfter(*route)};
    Entry &entry = entries_[id];
    entry.run = makeRun(terms);
    ++waiting_;
    entry.run->start([this, id, route, answered = std::move(answered)](ClientAnswer answer) {
        finish(id);
        answered(route.get(), std::move(answer));
    });
    return id;
}

void RequestDesk::finish(DeskId id)
{
    Entry &entry = entries_.at(id);
    entry.answered = true;
    --waiting_;
    // Never at once: the run is still on the stack.
    const Duration delay = entry.run->underWay() > 0 ? LoserTime : Duration{0};
    entry.removal = context_.runtime.schedule(delay, [this, id] { entries_.erase(id); });
}

void RequestDesk::clientGone(DeskId id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    if (!found->second.answered) {
        --waiting_;
        ++context_.counters.clientsGone;
    }
    context_.runtime.cancel(found->second.removal);
    entries_.erase(found);
}

std::size_t RequestDesk::waiting() const
{
    return waiting_;
}

} // namespace Burdock
