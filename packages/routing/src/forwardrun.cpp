#include <burdock/routing/requestrun.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// Forwards one request to one service.
class ForwardRun final : public RequestRun
{
public:
    ForwardRun(RoutingContext &context, const RunTerms &terms, const ServiceName &service)
        : context_(context)
        , terms_(terms)
        , call_(context, terms.route, service, terms.request, terms.trial, terms.deadline, terms.request->arrived + terms.route->target)
    {
    }

    void start(Done done) override
    {
        call_.start([this, done = std::move(done)](const CallOutcome &outcome) { done(answer(outcome)); });
    }

    std::size_t inFlight() const override
    {
        return call_.inFlight();
    }

    void stopSending() override
    {
        call_.stopSending();
    }

    RunProgress progress(TimePoint lastResponse) const override
    {
        RunProgress progress;
        progress.add(call_, lastResponse);
        progress.service = call_.service();
        return progress;
    }

private:
    ClientAnswer answer(const CallOutcome &outcome) const
    {
        if (!outcome.reply) {
            const bool pastDeadline = context_.runtime.now() >= terms_.deadline;
            return failureAnswer(outcome.reply.error(), outcome.nothingRan, pastDeadline, terms_.retryAfter);
        }
        ClientAnswer answer;
        answer.kind = ClientAnswer::Kind::Passed;
        answer.status = outcome.reply->status;
        answer.headers = outcome.reply->headers;
        answer.body = outcome.reply->body;
        answer.signatures = {outcome.reply->signature};
        return answer;
    }

    RoutingContext &context_;
    const RunTerms terms_;
    ServiceCall call_;
};

} // namespace

void RunProgress::add(const ServiceCall &call, TimePoint lastResponse)
{
    attempts = std::max(attempts, call.attemptsUsed(lastResponse));
    counted = counted || call.started();
    if (call.needsRepeat(lastResponse)) {
        repeats.push_back(call.service());
    }
}

std::unique_ptr<RequestRun> makeForwardRun(RoutingContext &context, const RunTerms &terms, const ServiceName &service)
{
    return std::make_unique<ForwardRun>(context, terms, service);
}

} // namespace Burdock
