#pragma once

#include <burdock/routing/routingconfig.h>

#include <deque>
#include <unordered_map>

namespace Burdock
{

/// The bound on repeated requests to a service, over all instances together.
struct RepeatTerms
{
    /// Repeats allowed for each request.
    double ratio = 0.2;
    Duration window = std::chrono::seconds(10);
    /// Repeats allowed in each window besides.
    double slack = 0;

    auto fields() const
    {
        return std::tie(ratio, window, slack);
    }
};

/// Whether a request may be sent to one more server of its service.
///
/// Each instance keeps to the ratio for its own requests and to its part of the slack, so the sum over all instances keeps to
/// the terms without a word between them. An instance does not know what it spent before it was restarted: it earns most of
/// its part of the slack over its first window, so that instances that are killed again and again keep to the terms too.
class RepeatBudget
{
public:
    RepeatBudget(const RepeatTerms &terms, TimePoint started);

    void setTerms(const RepeatTerms &terms);

    /// How many instances share the slack.
    void setInstances(std::size_t instances);

    /// Counts the first arrival of a request at the service.
    void onFirstSend(const ServiceName &service, TimePoint now);

    /// Takes one repeat; false where there is none. `reserve`, 0 to 1: the part of the budget that is left alone.
    bool tryAcquire(const ServiceName &service, TimePoint now, double reserve);

private:
    /// Counts in slices of the window.
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
