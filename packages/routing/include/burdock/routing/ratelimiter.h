#pragma once

#include <burdock/routing/routingconfig.h>
#include <burdock/values/runtime.h>

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>

namespace Burdock
{

/// Whether a request may start.
struct RateDecision
{
    bool admitted = true;
    /// When a refused request may be admitted if it comes again.
    Duration retryAfter{0};
    /// Until when what an admitted request took can be given back, on the clock of the instance that counts suspensions.
    TimePoint returnableUntil{};

    auto fields() const
    {
        return std::tie(admitted, retryAfter, returnableUntil);
    }
};

/// Identifies a request that waits for its decision; zero identifies none.
using RateRequestId = std::uint64_t;

/// Holds requests to limits that all instances share.
class RateLimiter
{
public:
    using Callback = std::function<void(const RateDecision &)>;

    virtual ~RateLimiter() = default;

    /// Decides whether a request that counts against the limit of the given name may start.
    ///
    /// `done` is called once: from within this call, which then returns zero, or within `maxWait`, if another instance has to be
    /// asked. Requests with a smaller `priority` are decided first.
    virtual RateRequestId acquire(const std::string &name, const RateTerms &terms, std::int64_t priority, Duration maxWait, Callback done) = 0;

    /// Forgets a request that waits for its decision; its callback is not called. Others are ignored.
    virtual void cancel(RateRequestId id) = 0;

    /// Returns what an admitted request took, since no server got it and none will. `admission` is the decision on it.
    virtual void giveBack(const std::string &name, const RateDecision &admission) = 0;
};

/// Admits all requests.
class UnlimitedRates final : public RateLimiter
{
public:
    RateRequestId acquire(const std::string & /*name*/, const RateTerms & /*terms*/, std::int64_t /*priority*/, Duration /*maxWait*/, Callback done) override
    {
        done(RateDecision{});
        return 0;
    }

    void cancel(RateRequestId /*id*/) override
    {
    }

    void giveBack(const std::string & /*name*/, const RateDecision & /*admission*/) override
    {
    }
};

} // namespace Burdock
