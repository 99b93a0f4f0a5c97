#include <burdock/routing/rateclaim.h>

#include <utility>

namespace Burdock
{

RateClaim::RateClaim(RateLimiter &rates, std::string workspace, RateTerms terms)
    : rates_(rates)
    , workspace_(std::move(workspace))
    , terms_(terms)
{
}

RateClaim::~RateClaim()
{
    if (isPending()) {
        rates_.cancel(id_);
    }
}

std::optional<RateDecision> RateClaim::acquire(std::int64_t priority, Duration maxWait, RateLimiter::Callback done)
{
    asking_ = true;
    id_ = rates_.acquire(workspace_, terms_, priority, maxWait, [this, done = std::move(done)](const RateDecision &decision) {
        decision_ = decision;
        if (!asking_) {
            id_ = 0;
            done(decision);
        }
    });
    asking_ = false;
    return decision_;
}

void RateClaim::giveBack()
{
    const auto decision = std::exchange(decision_, std::nullopt);
    if (decision && decision->admitted) {
        rates_.giveBack(workspace_, *decision);
    }
}

} // namespace Burdock
