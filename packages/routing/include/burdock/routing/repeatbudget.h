#pragma once

#include <burdock/routing/routingconfig.h>

#include <deque>
#include <unordered_map>

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
/// Each instance applies the ratio to its own requests and uses its fraction of the slack, so the sum over all instances stays
/// within the terms without coordination. An instance does not know what it used before a restart. It accrues most of its
/// slack over its first window, so that instances that are killed repeatedly also stay within the terms.
class RepeatBudget
{
public:
    RepeatBudget(const RepeatTerms &terms, TimePoint started);

    void setTerms(const RepeatTerms &terms);

    /// Sets the number of instances that share the slack.
    void setInstances(std::size_t instances);

    /// Counts the first attempt of a request to the service.
    void onFirstSend(const ServiceName &service, TimePoint now);

    /// Uses one repeat; returns false if the budget is exhausted. `reserve` is the fraction, 0 to 1, of the budget to keep.
    bool tryAcquire(const ServiceName &service, TimePoint now, double reserve);

private:
    /// Counts per slice of the window.
    struct Usage
    {
        struct Slice
        {
            std::int64_t index = 0;
            std::uint32_t requests = 0;
            std::uint32_t repeats = 0;
        };
        std::deque<Slice> slices;
    };

    Usage::Slice &sliceOf(const ServiceName &service, TimePoint now);

    RepeatTerms terms_;
    const TimePoint started_;
    std::size_t instances_ = 1;
    std::unordered_map<ServiceName, Usage> usage_;
};

} // namespace Burdock
