#include <burdock/routing/servicecall.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// The part of the repeat budget that hedges leave to retries: a retry saves an answer, a hedge only time.
constexpr double ReservedForRetries = 0.3;
/// Refused attempts beyond the route's attempts: each costs the servers nothing but an arrival.
constexpr std::uint32_t MostRefusals = 2;
/// A hedge goes out no earlier than this part of the expectation beyond it, however near the goal is.
constexpr int EarliestPart = 8;
/// When a service without a listed server is worth another try: entries that lapsed are back within two seconds of the store's return.
constexpr Duration ListingReturn = std::chrono::milliseconds(1200);
/// With less time than this left, no further attempt can be answered.
constexpr Duration LeastTime = std::chrono::milliseconds(10);

} // namespace

ServiceCall::ServiceCall(RoutingContext &context,
                         std::shared_ptr<const Route> route,
                         const ServiceName &service,
                         std::shared_ptr<const ClientRequest> request,
                         TimePoint deadline,
                         TimePoint goal)
    : context_(context)
    , route_(std::move(route))
    , service_(service)
    , request_(std::move(request))
    , deadline_(deadline)
    , goal_(goal)
{
}

ServiceCall::~ServiceCall()
{
    context_.runtime.cancel(hedgeTimer_);
    for (const auto &[number, attempt] : attempts_) {
        context_.backends.cancel(attempt.id);
        context_.choice.givenUp(*route_, *attempt.server, attempt.sentAt, context_.runtime.now());
    }
}

void ServiceCall::start(Done done)
{
    done_ = std::move(done);
    context_.budget.firstSent(service_, context_.runtime.now());
    if (!launch("send", {})) {
        const bool listed = !context_.servers.servers(service_).empty();
        settle(listed ? notRun(Errc::Overloaded, "no server of the service can take a request now")
                      : notRun(Errc::Unavailable, "no server of the service is listed", ListingReturn));
    }
}

void ServiceCall::stop()
{
    done_ = nullptr;
    context_.runtime.cancel(std::exchange(hedgeTimer_, 0));
}

bool ServiceCall::launch(const char *kind, const std::string &reason)
{
    const TimePoint now = context_.runtime.now();
    const ChosenServer chosen = context_.choice.choose(*route_, service_, tried_, now);
    if (!chosen.server) {
        return false;
    }
    const bool first = sends_ == 0;
    const std::uint64_t number = ++sends_;
    ++ran_;
    tried_.push_back(chosen.server->id);
    Attempt attempt{0, chosen.server, now, !first && !attempts_.empty()};
    context_.choice.sent(*chosen.server, now);
    attempt.id = context_.backends.send(chosen.server, request_, deadline_, [this, number](Result<ServerReply> reply) { ended(number, std::move(reply)); });
    attempts_.emplace(number, std::move(attempt));
    if (first) {
        ++context_.counters.firstSends;
    } else {
        context_.journal.note({kind, request_->id, service_.text(), chosen.server->id.text(), reason, now - request_->arrived});
    }
    armHedge(chosen);
    return true;
}

bool ServiceCall::mayRunAgain() const
{
    return route_->repeatable && ran_ < route_->attempts && deadline_ - context_.runtime.now() > LeastTime;
}

void ServiceCall::armHedge(const ChosenServer &chosen)
{
    context_.runtime.cancel(std::exchange(hedgeTimer_, 0));
    if (!mayRunAgain()) {
        return;
    }
    const TimePoint now = context_.runtime.now();
    const ChosenServer other = context_.choice.choose(*route_, service_, tried_, now);
    if (!other.server) {
        return;
    }
    // Late enough that the first is late, and early enough that the second can still meet the goal.
    const Duration latest = std::max(goal_ - now - other.expected, chosen.expected + chosen.expected / EarliestPart);
    hedgeTimer_ = context_.runtime.schedule(std::min(context_.choice.lateAfter(*route_, chosen), latest), [this] { hedge(); });
}

void ServiceCall::hedge()
{
    hedgeTimer_ = 0;
    if (!mayRunAgain() || context_.choice.choose(*route_, service_, tried_, context_.runtime.now()).server == nullptr) {
        return;
    }
    if (!context_.budget.take(service_, context_.runtime.now(), ReservedForRetries)) {
        ++context_.counters.repeatsDenied;
        return;
    }
    ++context_.counters.hedges;
    context_.choice.late(*route_);
    launch("hedge", "late answer");
}

bool ServiceCall::good(const Result<ServerReply> &reply) const
{
    return reply && reply->succeeded();
}

void ServiceCall::learn(const Attempt &attempt, const Result<ServerReply> &reply)
{
    const TimePoint now = context_.runtime.now();
    if (good(reply)) {
        context_.choice.answered(*route_, *attempt.server, attempt.sentAt, now);
        if (sends_ == 1) {
            context_.choice.inTime(*route_);
        }
    } else if (!reply && reply.error().verdict == Verdict::NotRun) {
        ++context_.counters.refusedByServers;
        context_.load.refused(attempt.server->id, attempt.sentAt, now);
    } else {
        ++context_.counters.failedAtServers;
        context_.load.failed(attempt.server->id, attempt.sentAt, now);
    }
}

void ServiceCall::ended(std::uint64_t number, Result<ServerReply> reply)
{
    const auto node = attempts_.extract(number);
    learn(node.mapped(), reply);
    if (!reply && reply.error().verdict == Verdict::NotRun) {
        --ran_;
    }
    if (!done_) {
        return;
    }
    if (good(reply)) {
        return settle(std::move(reply));
    }
    const std::string reason = reply ? "status " + std::to_string(reply->status) : reply.error().message;
    if (retry(reason) || !attempts_.empty()) {
        return;
    }
    settle(std::move(reply));
}

bool ServiceCall::retry(const std::string &reason)
{
    const bool clean = ran_ == 0 && sends_ < route_->attempts + MostRefusals;
    const bool timeLeft = deadline_ - context_.runtime.now() > LeastTime;
    if (!timeLeft || !(clean || mayRunAgain()) || sends_ >= route_->attempts + MostRefusals) {
        return false;
    }
    if (context_.choice.choose(*route_, service_, tried_, context_.runtime.now()).server == nullptr) {
        return false;
    }
    if (!context_.budget.take(service_, context_.runtime.now(), 0)) {
        ++context_.counters.repeatsDenied;
        return false;
    }
    ++context_.counters.retries;
    return launch("retry", reason);
}

void ServiceCall::settle(Result<ServerReply> reply)
{
    context_.runtime.cancel(std::exchange(hedgeTimer_, 0));
    const Done done = std::exchange(done_, nullptr);
    done(CallOutcome{std::move(reply), ran_ == 0, sends_});
}

} // namespace Burdock
