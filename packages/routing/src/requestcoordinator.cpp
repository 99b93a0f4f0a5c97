#include <burdock/routing/requestcoordinator.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// How long the slower attempt of a hedged request may still finish, which keeps its connection open for reuse.
constexpr Duration LoserGracePeriod = std::chrono::milliseconds(350);
/// The suggested retry delay of a request that no server could accept: about the backoff of a server after a refusal. Less urgent
/// requests retry later, and jitter spreads the retries.
constexpr Duration BaseRetryAfter = std::chrono::milliseconds(150);
constexpr Duration RetryAfterPerPriority = std::chrono::milliseconds(200);
constexpr double RetryAfterJitter = 0.5;
/// The bounds of the suggested retry delay while the instance has no configuration. The delay is the time without one so far, since
/// the remaining time is about as long.
constexpr Duration MinStartupRetryAfter = std::chrono::milliseconds(400);
constexpr Duration MaxStartupRetryAfter = std::chrono::milliseconds(2500);

/// The suggested retry delay of a request that crashes servers: they are not mended soon.
constexpr Duration GuiltyRetryAfter = std::chrono::seconds(60);

std::string_view pathOf(const std::string &target)
{
    return std::string_view(target).substr(0, target.find('?'));
}

} // namespace

RequestCoordinator::RequestCoordinator(RoutingContext &context, std::uint64_t seed)
    : context_(context)
    , random_(seed)
    , started_(context.runtime.now())
{
}

RequestCoordinator::~RequestCoordinator()
{
    for (const auto &[id, entry] : entries_) {
        context_.runtime.cancel(entry.removal);
    }
}

void RequestCoordinator::setRoutes(std::shared_ptr<const RouteTable> routes)
{
    routes_ = std::move(routes);
}

Duration RequestCoordinator::retryAfter(const Route &route)
{
    return addJitter(BaseRetryAfter + RetryAfterPerPriority * std::max<std::int64_t>(route.priority, 0));
}

Duration RequestCoordinator::addJitter(Duration span)
{
    const double factor = 1 + RetryAfterJitter * std::uniform_real_distribution<double>()(random_);
    return Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
}

std::unique_ptr<RequestRun> RequestCoordinator::makeRun(const RunTerms &terms)
{
    if (!terms.route->shards.empty()) {
        return makeGatherRun(context_, terms);
    }
    return makeForwardRun(context_, terms, split_.next(*terms.route));
}

ServedRequestId RequestCoordinator::serve(ClientRequest request, AnswerCallback onAnswer)
{
    const ServedRequestId id = ++lastId_;
    if (!routes_) {
        const Duration sinceStart = std::clamp(context_.runtime.now() - started_, MinStartupRetryAfter, MaxStartupRetryAfter);
        onAnswer(nullptr, refusal(AnswerStatus::Unavailable, "no configuration is known yet", addJitter(sinceStart)));
        return id;
    }
    const auto host = request.headers.find("host");
    const auto route = host == request.headers.end() ? nullptr : routes_->find(host->second, pathOf(request.target));
    if (!route) {
        onAnswer(nullptr, refusal(AnswerStatus::NotFound, "no route for this host and path"));
        return id;
    }
    const Duration effectiveTimeout = std::min(request.clientTimeout.value_or(route->timeout), route->timeout);
    const Duration clientAge = request.clientTimeout ? clientAge_.onRequest(route->name, *request.clientTimeout) : Duration{0};
    const TimePoint now = context_.runtime.now();
    const auto trial = std::make_shared<RequestTrial>(context_.crashes, RequestFingerprint::of(request), now);
    if (trial->isGuilty(now)) {
        ++context_.counters.refusedAsGuilty;
        const std::string reason = "the request " + trial->fingerprint().text() + " has crashed the servers that ran it";
        onAnswer(route.get(), refusal(AnswerStatus::Unavailable, reason, addJitter(GuiltyRetryAfter)));
        return id;
    }
    const auto shared = std::make_shared<const ClientRequest>(std::move(request));
    const RunTerms terms{route, shared, shared->arrived + effectiveTimeout, retryAfter(*route), trial, clientAge};
    Entry &entry = entries_[id];
    entry.run = makeRun(terms);
    entry.route = route;
    entry.onAnswer = std::move(onAnswer);
    ++pending_;
    entry.run->start([this, id](ClientAnswer given) { answer(id, std::move(given)); });
    return id;
}

void RequestCoordinator::answer(ServedRequestId id, ClientAnswer answer)
{
    const auto route = entries_.at(id).route;
    const auto onAnswer = std::exchange(entries_.at(id).onAnswer, nullptr);
    finish(id);
    onAnswer(route.get(), std::move(answer));
}

void RequestCoordinator::failAll(const std::string &reason)
{
    std::vector<ServedRequestId> unanswered;
    for (const auto &[id, entry] : entries_) {
        if (!entry.answered) {
            unanswered.push_back(id);
        }
    }
    for (const ServedRequestId id : unanswered) {
        // The answers before it may have ended this one.
        const auto found = entries_.find(id);
        if (found == entries_.end() || found->second.answered) {
            continue;
        }
        ClientAnswer failure;
        failure.kind = ClientAnswer::Kind::Failed;
        failure.status = AnswerStatus::BadGateway;
        failure.reason = reason;
        answer(id, std::move(failure));
        context_.runtime.cancel(entries_.at(id).removal);
        entries_.erase(id);
    }
}

void RequestCoordinator::finish(ServedRequestId id)
{
    Entry &entry = entries_.at(id);
    entry.answered = true;
    --pending_;
    // Deferred even without requests in flight, since the run is still on the stack.
    const Duration delay = entry.run->inFlight() > 0 ? LoserGracePeriod : Duration{0};
    entry.removal = context_.runtime.schedule(delay, [this, id] { entries_.erase(id); });
}

void RequestCoordinator::onClientDisconnected(ServedRequestId id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    if (found->second.answered) {
        return removeSoon(id);
    }
    --pending_;
    ++context_.counters.clientsGone;
    entries_.erase(found);
}

void RequestCoordinator::removeSoon(ServedRequestId id)
{
    Entry &entry = entries_.at(id);
    context_.runtime.cancel(entry.removal);
    entry.removal = context_.runtime.schedule(Duration{0}, [this, id] { entries_.erase(id); });
}

std::size_t RequestCoordinator::pendingRequests() const
{
    return pending_;
}

} // namespace Burdock
