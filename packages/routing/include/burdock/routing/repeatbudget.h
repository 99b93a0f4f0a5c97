#pragma once

#include <burdock/policy/tokenbucket.h>
#include <burdock/routing/routingconfig.h>

#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Burdock
{

/// The limit on repeated requests (retries and hedges) to a service, over all instances together.
struct RepeatTerms
{
    /// Allowed repeats per request.
    double ratio = 0.2;
    Duration window = std::chrono::seconds(10);
    /// Additional repeats allowed in each window.
    double slack = 0;

    auto fields() const
    {
        return std::tie(ratio, window, slack);
    }
};

/// Decides whether a request may be sent to another server of its service.
///
/// Load: servers that fail or stall while instances are killed and restarted. An instance does not know what it used before a
/// restart, so nothing may be spent on the strength of the past: each service has a token bucket that starts nearly empty, gains
/// tokens with the instance's own requests and its fraction of the slack, and loses them with the process. The sum over all
/// instances and lives then stays within the terms for any position of the window; docs/notes/repeatbudget.md has the derivation.
class RepeatBudget
{
public:
    RepeatBudget(const RepeatTerms &terms, TimePoint started);

    void setTerms(const RepeatTerms &terms);

    /// Sets the number of instances that share the slack. A smaller number takes effect only after a window without a larger
    /// one, since instances that disappear briefly keep spending.
    void setInstances(std::size_t instances, TimePoint now);

    /// Counts the first attempt of a request to the service.
    void onFirstSend(const ServiceName &service, TimePoint now);

    /// Uses one repeat; returns false if the budget is exhausted. `reserve` is the fraction, 0 to 1, of the budget to keep.
    bool tryAcquire(const ServiceName &service, TimePoint now, double reserve);

    /// Uses one repeat of each service, or none if the budget of any of them is exhausted.
    bool tryAcquireAll(const std::vector<ServiceName> &services, TimePoint now);

private:
    /// The bucket of a service, and its requests in the last window, which determine the capacity.
    struct Account
    {
        struct Slice
        {
            std::int64_t index = 0;
            std::uint32_t requests = 0;
        };
        TokenBucket bucket{0, 0};
        std::deque<Slice> slices;
        std::uint64_t requests = 0;
        TimePoint updated{};
    };

    void forgetOldCounts(TimePoint now);
    Account &accountOf(const ServiceName &service, TimePoint now);
    void advance(Account &account, TimePoint now) const;
    /// Moves the account to `now`, which lies in the slice after its last update at most.
    void step(Account &account, TimePoint now) const;
    double slackShare() const;
    std::int64_t sliceAt(TimePoint time) const;

    RepeatTerms terms_;
    const TimePoint started_;
    /// The numbers of instances of the last window that no later number exceeds, largest first.
    std::deque<std::pair<TimePoint, std::size_t>> instances_;
    std::unordered_map<ServiceName, Account> accounts_;
};

} // namespace Burdock
