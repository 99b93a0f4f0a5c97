#include <burdock/routing/partmerge.h>
#include <burdock/routing/requestrun.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// An answer is sent this long before the target time, to cover the way to the client and back, and queueing here.
constexpr Duration AnswerMargin = std::chrono::milliseconds(20);
/// For short target times the margin is at most the target time divided by this.
constexpr int MaxMarginDivisor = 4;
/// The part of the target time that may have passed for the client already. After more than that, an answer in time is out of
/// reach, and a complete one is worth more than an early one.
constexpr double MaxAgeFraction = 0.75;

/// Parts are merged before the last one has arrived once they have more than this many bytes.
constexpr std::size_t MaxPartBytes = 65536;

/// One request to all shards of a route.
///
/// Handles stragglers: it waits for all shards until just before the target time, then answers with the available parts if they
/// reach the minimum share, since a missing part costs less than a late answer. It fails as soon as the share is out of reach.
class GatherRun final : public RequestRun
{
public:
    GatherRun(RoutingContext &context, const RunTerms &terms)
        : context_(context)
        , terms_(terms)
    {
    }

    ~GatherRun() override
    {
        context_.runtime.cancel(answerTimer_);
    }

    GatherRun(const GatherRun &) = delete;
    GatherRun &operator=(const GatherRun &) = delete;

    void start(Done done) override
    {
        done_ = std::move(done);
        const Route &route = *terms_.route;
        const Duration margin = std::min(AnswerMargin, route.target / MaxMarginDivisor);
        const bool reachable = static_cast<double>(terms_.clientAge.count()) < static_cast<double>(route.target.count()) * MaxAgeFraction;
        answerAt_ = terms_.request->arrived + route.target - margin - (reachable ? terms_.clientAge : Duration{0});
        calls_.reserve(route.shards.size());
        for (const ServiceName &shard : route.shards) {
            calls_.push_back(std::make_unique<ServiceCall>(context_, terms_.route, shard, terms_.request, terms_.trial, terms_.deadline, answerAt_));
        }
        if (refuseIfUnservable()) {
            return;
        }
        // A request that may crash servers is sent to one shard at first, which should not always be the same.
        const auto first = static_cast<std::size_t>(context_.runtime.now().time_since_epoch().count()) % calls_.size();
        for (std::size_t index = 0; index < calls_.size() && done_; ++index) {
            calls_[(first + index) % calls_.size()]->start([this](const CallOutcome &outcome) { onCallFinished(outcome); });
        }
        if (done_) {
            answerTimer_ = context_.runtime.schedule(answerAt_ - context_.runtime.now(), [this] { answerIfDecided(); });
        }
    }

    std::size_t inFlight() const override
    {
        std::size_t sum = 0;
        for (const auto &call : calls_) {
            sum += call->inFlight();
        }
        return sum;
    }

    void stopSending() override
    {
        for (const auto &call : calls_) {
            call->stopSending();
        }
    }

    RunProgress progress(TimePoint lastResponse) const override
    {
        RunProgress progress;
        for (const auto &call : calls_) {
            progress.add(*call, lastResponse);
        }
        return progress;
    }

private:
    /// Refuses the request before anything is sent if too many shards have no server for it, because of limits or of where the
    /// servers stand: the parts of the others would use up their servers' time and limits for nothing.
    bool refuseIfUnservable()
    {
        if (!context_.choice.isRestricted(*terms_.route)) {
            return false;
        }
        std::vector<const ServiceCall *> unable;
        for (const auto &call : calls_) {
            if (!call->canStart()) {
                unable.push_back(call.get());
            }
        }
        std::size_t missing = 0;
        while (missing < unable.size() && !hasEnough(calls_.size() - unable.size() + missing)) {
            ++missing;
        }
        if (missing == 0) {
            return false;
        }
        std::vector<Failure> failures;
        failures.reserve(unable.size());
        for (const ServiceCall *call : unable) {
            failures.push_back(call->refuse());
        }
        // The request can be served once as many of them as are needed can take it.
        const auto last = failures.begin() + static_cast<std::ptrdiff_t>(missing - 1);
        std::nth_element(failures.begin(), last, failures.end(), [](const Failure &left, const Failure &right) { return left.retryAfter < right.retryAfter; });
        answer(failureAnswer(*last, true, false, terms_.retryAfter));
        return true;
    }

    void onCallFinished(const CallOutcome &outcome)
    {
        nothingRan_ = nothingRan_ && outcome.nothingRan;
        // Servers sign failures too, so a signature alone does not mean success.
        const bool valid = outcome.reply && outcome.reply->succeeded() && !outcome.reply->signature.empty();
        // Responses with the same signature count as one part.
        const bool duplicate = valid && std::find(signatures_.begin(), signatures_.end(), outcome.reply->signature) != signatures_.end();
        if (valid && !duplicate) {
            signatures_.push_back(outcome.reply->signature);
            addPart(outcome.reply->body);
        } else {
            ++failed_;
            lastFailure_ = outcome.reply ? mayHaveRun(Errc::Unavailable, "a server answered with status " + std::to_string(outcome.reply->status)).value()
                                         : outcome.reply.error();
        }
        answerIfDecided();
    }

    /// Keeps a part until the answer. Of long ones, only the records are kept that may be in the answer.
    void addPart(const SharedText &part)
    {
        parts_.push_back(part);
        partBytes_ += part.size();
        const std::size_t resultBytes = RecordBytes * std::size_t{terms_.route->resultLimit};
        if (partBytes_ <= MaxPartBytes || resultBytes > partBytes_ / 2) {
            return;
        }
        SharedText merged = mergedParts();
        partBytes_ = merged.size();
        parts_ = {std::move(merged)};
    }

    std::string mergedParts() const
    {
        std::vector<std::string_view> views;
        views.reserve(parts_.size());
        for (const SharedText &part : parts_) {
            views.emplace_back(part.text());
        }
        return greatestRecords(views, terms_.route->resultLimit);
    }

    bool hasEnough(std::size_t parts) const
    {
        return parts > 0 && static_cast<double>(parts) >= terms_.route->minShare * static_cast<double>(calls_.size());
    }

    void answerIfDecided()
    {
        if (!done_) {
            return;
        }
        const std::size_t pending = calls_.size() - signatures_.size() - failed_;
        const bool due = context_.runtime.now() >= answerAt_;
        if (hasEnough(signatures_.size()) && (pending == 0 || due)) {
            answer(gathered());
        } else if (!hasEnough(signatures_.size() + pending) || pending == 0) {
            const bool pastDeadline = context_.runtime.now() >= terms_.deadline;
            const bool ran = !nothingRan_ || inFlight() > 0;
            answer(failureAnswer(lastFailure_, !ran, pastDeadline, terms_.retryAfter));
        }
    }

    ClientAnswer gathered() const
    {
        ClientAnswer answer;
        answer.kind = ClientAnswer::Kind::Gathered;
        answer.status = AnswerStatus::Ok;
        answer.body = mergedParts();
        answer.signatures = signatures_;
        answer.missing = static_cast<std::uint32_t>(calls_.size() - signatures_.size());
        return answer;
    }

    void answer(ClientAnswer answer)
    {
        context_.runtime.cancel(std::exchange(answerTimer_, 0));
        for (const auto &call : calls_) {
            call->stop();
        }
        std::exchange(done_, nullptr)(std::move(answer));
    }

    RoutingContext &context_;
    const RunTerms terms_;
    Done done_;
    TimePoint answerAt_;
    TimerId answerTimer_ = 0;
    std::vector<std::unique_ptr<ServiceCall>> calls_;
    std::vector<std::string> signatures_;
    /// The parts that have arrived, or the greatest records of those that were merged.
    std::vector<SharedText> parts_;
    std::size_t partBytes_ = 0;
    std::size_t failed_ = 0;
    bool nothingRan_ = true;
    Failure lastFailure_;
};

} // namespace

std::unique_ptr<RequestRun> makeGatherRun(RoutingContext &context, const RunTerms &terms)
{
    return std::make_unique<GatherRun>(context, terms);
}

} // namespace Burdock
