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

/// After a peer could not serve a request of a route either, others of that route are not passed on for this time while some servers
/// can be reached: the servers are down for all.
constexpr Duration HoldTime = std::chrono::seconds(1);
/// The maximum part of a request's target for which it waits for its workspace's rate.
constexpr int MaxRateWaitDivisor = 2;
constexpr const char *CutOffReason = "no server can be reached";

std::string_view pathOf(const std::string &target)
{
    return std::string_view(target).substr(0, target.find('?'));
}

/// Returns the route as it holds for a request that was passed on.
std::shared_ptr<const Route> limitedRoute(const Route &route, const PassOnTerms &terms)
{
    Route limited = route;
    limited.attempts = std::min(limited.attempts, terms.attempts);
    const auto isChosen = [&terms](const WeightedService &part) { return part.service == terms.service; };
    if (std::any_of(limited.services.begin(), limited.services.end(), isChosen)) {
        limited.services = {{terms.service, 1}};
    }
    return std::make_shared<const Route>(std::move(limited));
}

} // namespace

RequestCoordinator::RequestCoordinator(RoutingContext &context, RateLimiter &rates, std::uint64_t seed)
    : context_(context)
    , admission_(rates, context.counters)
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
    admission_.setRoutes(routes_);
    heldUntil_.clear();
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

std::optional<ClientAnswer> RequestCoordinator::refuseForOther(const ClientRequest &request) const
{
    if (!request.passedOn) {
        return std::nullopt;
    }
    std::string reason;
    auto inability = ClientAnswer::Inability::Instance;
    if (!routes_) {
        reason = "no configuration is known yet";
    } else if (routes_->config().version < request.passedOn->configVersion) {
        reason = "the configuration here is older, " + std::to_string(routes_->config().version);
        inability = ClientAnswer::Inability::Configuration;
    } else if (context_.reach.isCutOff()) {
        reason = "this instance cannot reach a server either";
    } else {
        return std::nullopt;
    }
    ClientAnswer answer = refusal(AnswerStatus::Unavailable, std::move(reason));
    answer.inability = inability;
    return answer;
}

std::shared_ptr<const Route> RequestCoordinator::findRoute(const ClientRequest &request) const
{
    const auto host = request.headers.find("host");
    return host == request.headers.end() ? nullptr : routes_->find(host->second, pathOf(request.target));
}

Duration RequestCoordinator::clientAge(const ClientRequest &request, const Route &route)
{
    if (request.passedOn) {
        return request.passedOn->clientAge;
    }
    return request.clientTimeout ? clientAge_.onRequest(route.name, *request.clientTimeout) : Duration{0};
}

ServedRequestId RequestCoordinator::serve(ClientRequest request, AnswerCallback onAnswer)
{
    const ServedRequestId id = ++lastId_;
    if (auto refused = refuseForOther(request)) {
        onAnswer(nullptr, std::move(*refused));
        return id;
    }
    if (!routes_) {
        const Duration sinceStart = std::clamp(context_.runtime.now() - started_, MinStartupRetryAfter, MaxStartupRetryAfter);
        onAnswer(nullptr, refusal(AnswerStatus::Unavailable, "no configuration is known yet", addJitter(sinceStart)));
        return id;
    }
    const auto found = findRoute(request);
    if (!found) {
        onAnswer(nullptr, refusal(AnswerStatus::NotFound, "no route for this host and path"));
        return id;
    }
    RequestAdmission::Outcome admitted = admission_.admit(request, found);
    request.key.clear();
    if (admitted.refused) {
        onAnswer(found.get(), std::move(*admitted.refused));
        return id;
    }
    request.workspace = std::move(admitted.workspace);
    request.workspaceConfig = routes_->config().version;
    const auto route = request.passedOn ? limitedRoute(*admitted.route, *request.passedOn) : admitted.route;
    const Duration effectiveTimeout = std::min(request.clientTimeout.value_or(route->timeout), route->timeout);
    const Duration clientAge = this->clientAge(request, *route);
    const TimePoint now = context_.runtime.now();
    const auto trial = std::make_shared<RequestTrial>(context_.crashes, RequestFingerprint::of(request), now);
    if (trial->isGuilty(now)) {
        ++context_.counters.refusedAsGuilty;
        const std::string reason = "the request " + trial->fingerprint().text() + " has crashed the servers that ran it";
        onAnswer(route.get(), refusal(AnswerStatus::Unavailable, reason, addJitter(GuiltyRetryAfter)));
        return id;
    }
    const auto shared = std::make_shared<const ClientRequest>(std::move(request));
    Entry &entry = entries_[id];
    entry.terms = RunTerms{route, shared, shared->arrived + effectiveTimeout, retryAfter(*route), trial, clientAge};
    entry.claim = std::move(admitted.claim);
    entry.onAnswer = std::move(onAnswer);
    entry.work = context_.runtime.boundary().work();
    ++pending_;
    try {
        startWithinRate(id);
    } catch (...) {
        // The caller gets no id by which it could end the request.
        onClientDisconnected(id);
        throw;
    }
    return id;
}

void RequestCoordinator::startWithinRate(ServedRequestId id)
{
    const Entry &entry = entries_.at(id);
    if (!entry.claim) {
        return start(id);
    }
    const Duration timeLeft = std::max(entry.terms.deadline - context_.runtime.now(), Duration{0});
    const Duration maxWait = std::min(timeLeft, entry.terms.route->target / MaxRateWaitDivisor);
    const auto onDecided = [this, id, work = entry.work](const RateDecision &decision) {
        context_.runtime.boundary().runFor(work, "rate", [&] { onRateDecided(id, decision); });
    };
    if (const auto decision = entry.claim->acquire(entry.terms.route->priority, maxWait, onDecided)) {
        onRateDecided(id, *decision);
    }
}

void RequestCoordinator::onRateDecided(ServedRequestId id, const RateDecision &decision)
{
    const Entry &entry = entries_.at(id);
    if (!decision.admitted) {
        ++context_.counters.refusedOverRate;
        const std::string reason = "workspace " + entry.claim->workspace() + " is over its rate";
        return answer(id, refusal(AnswerStatus::TooManyRequests, reason, decision.retryAfter));
    }
    // The reach may have changed while the request waited.
    if (auto refused = refuseForOther(*entry.terms.request)) {
        return answer(id, std::move(*refused));
    }
    start(id);
}

void RequestCoordinator::start(ServedRequestId id)
{
    if (context_.reach.isCutOff()) {
        return passOn(id, {}, CutOffReason);
    }
    Entry &entry = entries_.at(id);
    const std::size_t servers = std::max<std::size_t>(entry.terms.route->shards.size(), 1);
    if (!context_.backends.hasRoom(servers)) {
        ++context_.counters.refusedForConnections;
        return answer(id, refusal(AnswerStatus::Unavailable, "no connections are left for the servers of the request", entry.terms.retryAfter));
    }
    entry.run = makeRun(entry.terms);
    entry.run->start([this, id](ClientAnswer given) { onRunAnswered(id, std::move(given)); });
}

void RequestCoordinator::onRunAnswered(ServedRequestId id, ClientAnswer given)
{
    Entry &entry = entries_.at(id);
    if (entry.answered) {
        return;
    }
    if (given.succeeded()) {
        return answer(id, std::move(given));
    }
    entry.ownAnswer = given;
    const bool passedOn = entry.passOn ? !entry.passOn->finished() : passOnFailed(id, given);
    if (!passedOn) {
        answer(id, std::move(given));
    }
}

bool RequestCoordinator::mayPassOn(const Entry &entry, const RunProgress &progress) const
{
    const TimePoint now = context_.runtime.now();
    const RunTerms &terms = entry.terms;
    if (terms.request->passedOn || now >= terms.deadline || terms.trial->isGuilty(now)) {
        return false;
    }
    return progress.attempts == 0 || (terms.route->repeatable && progress.attempts < terms.route->attempts);
}

bool RequestCoordinator::passOnFailed(ServedRequestId id, const ClientAnswer &answer)
{
    const Entry &entry = entries_.at(id);
    const TimePoint now = context_.runtime.now();
    const auto held = heldUntil_.find(entry.terms.route->name);
    const bool isHeld = held != heldUntil_.end() && now < held->second;
    if (!context_.reach.isCutOff() && (isHeld || !context_.reach.isImpaired(now))) {
        return false;
    }
    const RunProgress progress = progressOf(entry);
    if (!mayPassOn(entry, progress) || !acquireRepeats(progress)) {
        return false;
    }
    passOn(id, progress, answer.reason);
    return true;
}

bool RequestCoordinator::acquireRepeats(const RunProgress &progress)
{
    if (context_.budget.tryAcquireAll(progress.repeats, context_.runtime.now())) {
        return true;
    }
    ++context_.counters.repeatsDenied;
    return false;
}

RunProgress RequestCoordinator::progressOf(const Entry &entry) const
{
    if (!entry.run) {
        return {};
    }
    const bool ignoresLost = entry.terms.route->repeatable && context_.reach.isCutOff();
    return entry.run->progress(ignoresLost ? context_.reach.lastResponse() : TimePoint::max());
}

void RequestCoordinator::passOn(ServedRequestId id, const RunProgress &progress, const std::string &reason)
{
    Entry &entry = entries_.at(id);
    PassOnTerms terms;
    terms.configVersion = std::max(routes_->config().version, newestConfig_);
    terms.attempts = entry.terms.route->attempts - progress.attempts;
    terms.counted = progress.counted;
    terms.service = progress.service;
    terms.workspace = entry.terms.request->workspace;
    terms.workspaceConfig = entry.terms.request->workspaceConfig;
    entry.passOn = std::make_unique<PassOnRun>(context_, entry.terms, std::move(terms), reason);
    entry.passOn->start([this, id](ClientAnswer given) { onPassOnAnswered(id, std::move(given)); });
}

void RequestCoordinator::onPassOnAnswered(ServedRequestId id, ClientAnswer given)
{
    Entry &entry = entries_.at(id);
    if (entry.answered) {
        return;
    }
    newestConfig_ = std::max(newestConfig_, entry.passOn->newestConfig());
    if (given.succeeded()) {
        return answer(id, std::move(given));
    }
    const bool cutOff = context_.reach.isCutOff();
    if (!cutOff) {
        heldUntil_[entry.terms.route->name] = context_.runtime.now() + HoldTime;
        if (entry.run && !entry.ownAnswer) {
            // The servers can be reached again, so the own run may still be answered.
            return;
        }
    }
    const bool ranHere = entry.run && entry.run->progress().attempts > 0;
    if (given.kind == ClientAnswer::Kind::Refused && ranHere) {
        given = entry.ownAnswer.value_or(failureAnswer(mayHaveRun(Errc::Unavailable, given.reason).value(), false, false, Duration{0}));
    }
    answer(id, std::move(given));
}

void RequestCoordinator::onReachChanged()
{
    if (!context_.reach.isCutOff()) {
        return;
    }
    std::vector<ServedRequestId> unanswered;
    for (const auto &[id, entry] : entries_) {
        if (!entry.answered && entry.run && !entry.passOn) {
            unanswered.push_back(id);
        }
    }
    for (const ServedRequestId id : unanswered) {
        // The answers before it may have ended this one.
        const auto found = entries_.find(id);
        if (found != entries_.end() && !found->second.answered) {
            context_.runtime.boundary().runFor(found->second.work, "cut-off", [this, id] { onCutOff(id); });
        }
    }
}

void RequestCoordinator::onCutOff(ServedRequestId id)
{
    Entry &entry = entries_.at(id);
    const bool canPassOn = context_.peerChoice.choose(*entry.terms.route, {}, context_.runtime.now()).has_value();
    if (!entry.terms.request->passedOn && !canPassOn && !context_.peerChoice.isNoOneConnected()) {
        // Nobody else could serve it, and a server that is merely slow may still respond.
        return;
    }
    const RunProgress progress = progressOf(entry);
    if (canPassOn && mayPassOn(entry, progress) && acquireRepeats(progress)) {
        entry.run->stopSending();
        passOn(id, progress, CutOffReason);
        return;
    }
    const bool mayHaveRunHere = entry.run->progress().attempts > 0;
    if (mayHaveRunHere && !entry.terms.route->repeatable) {
        // A second run is not allowed, and the answer may still come.
        return;
    }
    const std::string reason = "no server can be reached any more";
    const Failure failure{Errc::Unavailable, mayHaveRunHere ? Verdict::MayHaveRun : Verdict::NotRun, reason, Duration{0}};
    answer(id, failureAnswer(failure, !mayHaveRunHere, false, entry.terms.retryAfter));
}

bool RequestCoordinator::arrivedNowhere(const Entry &entry, const ClientAnswer &answer) const
{
    return answer.kind == ClientAnswer::Kind::Refused && (!entry.run || entry.run->progress().repeats.empty());
}

ClientAnswer::Inability RequestCoordinator::inabilityOf(const Entry &entry, const ClientAnswer &answer) const
{
    if (answer.succeeded() || answer.status == AnswerStatus::TooManyRequests) {
        return ClientAnswer::Inability::None;
    }
    if (context_.reach.isCutOff()) {
        return ClientAnswer::Inability::Instance;
    }
    // Connections and limits are divided among the instances, so another one may have room at the same servers.
    return arrivedNowhere(entry, answer) ? ClientAnswer::Inability::Request : ClientAnswer::Inability::None;
}

void RequestCoordinator::answer(ServedRequestId id, ClientAnswer answer)
{
    Entry &entry = entries_.at(id);
    const auto route = entry.terms.route;
    const auto onAnswer = std::exchange(entry.onAnswer, nullptr);
    if (entry.terms.request->passedOn) {
        answer.attempts = progressOf(entry).attempts;
        answer.inability = inabilityOf(entry, answer);
        context_.counters.servedForOthers += answer.succeeded() ? 1 : 0;
    }
    if (entry.claim && arrivedNowhere(entry, answer)) {
        entry.claim->giveBack();
    }
    const bool byPeer = entry.passOn && entry.passOn->finished();
    finish(id, !byPeer && entry.run && entry.run->inFlight() > 0 ? LoserGracePeriod : Duration{0});
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
        const bool isWaiting = found->second.claim && found->second.claim->isPending();
        ClientAnswer failure;
        failure.kind = isWaiting ? ClientAnswer::Kind::Refused : ClientAnswer::Kind::Failed;
        failure.status = isWaiting ? AnswerStatus::Unavailable : AnswerStatus::BadGateway;
        failure.reason = reason;
        answer(id, std::move(failure));
        context_.runtime.cancel(entries_.at(id).removal);
        entries_.erase(id);
    }
}

void RequestCoordinator::finish(ServedRequestId id, Duration delay)
{
    Entry &entry = entries_.at(id);
    entry.answered = true;
    --pending_;
    if (entry.run) {
        entry.run->stopSending();
    }
    if (entry.passOn) {
        entry.passOn->cancel();
    }
    // Deferred even without requests in flight, since the run may be on the stack.
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
