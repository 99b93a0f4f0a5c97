#pragma once

#include <burdock/routing/ratelimiter.h>

#include <optional>
#include <string>

namespace Burdock
{

/// One request's claim on the rate of its workspace. The destructor ends the wait for a decision.
class RateClaim
{
public:
    RateClaim(RateLimiter &rates, std::string workspace, RateTerms terms);
    ~RateClaim();
    RateClaim(const RateClaim &) = delete;
    RateClaim &operator=(const RateClaim &) = delete;

    /// Asks whether the request may start; see RateLimiter::acquire. Returns the decision, or nothing if `done` is called with it later.
    /// Called once.
    std::optional<RateDecision> acquire(std::int64_t priority, Duration maxWait, RateLimiter::Callback done);

    bool isPending() const
    {
        return id_ != 0;
    }

    /// Returns what the request took, if it was admitted and did not return it before.
    void giveBack();

    const std::string &workspace() const
    {
        return workspace_;
    }

private:
    RateLimiter &rates_;
    const std::string workspace_;
    const RateTerms terms_;
    RateRequestId id_ = 0;
    bool asking_ = false;
    /// Unset while there is none, and once the claim was given back.
    std::optional<RateDecision> decision_;
};

} // namespace Burdock
