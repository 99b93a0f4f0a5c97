#include <burdock/routing/repeatbudget.h>

#include <algorithm>

namespace Burdock
{

namespace
{

/// The number of slices of the window. Repeats are counted over one more slice, so that the limit holds for any position of the
/// window.
constexpr std::int64_t SlicesPerWindow = 20;
/// The fractions of the ratio and of the slack that are used; the rest covers instances that do not know of each other yet.
constexpr double UsedRatioFraction = 0.85;
constexpr double UsedSlackFraction = 0.6;
/// The fraction of its slack that an instance has from its start, so that its first requests can be hedged; the rest accrues over
/// the first window. Five restarts within one window stay below the whole slack.
constexpr double InitialSlackFraction = 0.15;

} // namespace

RepeatBudget::RepeatBudget(const RepeatTerms &terms, TimePoint started)
    : terms_(terms)
    , started_(started)
{
}

void RepeatBudget::setTerms(const RepeatTerms &terms)
{
    if (terms.window != terms_.window) {
        // Slices of different lengths cannot be compared, so counting restarts.
        usage_.clear();
    }
    terms_ = terms;
}

void RepeatBudget::setInstances(std::size_t instances)
{
    instances_ = std::max<std::size_t>(instances, 1);
}

RepeatBudget::Usage::Slice &RepeatBudget::sliceOf(const ServiceName &service, TimePoint now)
{
    const std::int64_t index = now.time_since_epoch() / (terms_.window / SlicesPerWindow);
    auto &slices = usage_[service].slices;
    while (!slices.empty() && slices.front().index < index - SlicesPerWindow) {
        slices.pop_front();
    }
    if (slices.empty() || slices.back().index != index) {
        slices.push_back({index, 0, 0});
    }
    return slices.back();
}

void RepeatBudget::onFirstSend(const ServiceName &service, TimePoint now)
{
    ++sliceOf(service, now).requests;
}

bool RepeatBudget::tryAcquire(const ServiceName &service, TimePoint now, double reserve)
{
    Usage::Slice &slice = sliceOf(service, now);
    double requests = 0;
    double repeats = 0;
    for (const Usage::Slice &past : usage_[service].slices) {
        requests += past.requests;
        repeats += past.repeats;
    }
    const double uptimeFraction = std::min(1.0, static_cast<double>((now - started_).count()) / static_cast<double>(terms_.window.count()));
    const double earned = InitialSlackFraction + (1 - InitialSlackFraction) * uptimeFraction;
    const double slack = terms_.slack * UsedSlackFraction * earned / static_cast<double>(instances_);
    const double allowed = terms_.ratio * UsedRatioFraction * requests + slack;
    if (repeats + 1 > allowed * (1 - reserve)) {
        return false;
    }
    ++slice.repeats;
    return true;
}

} // namespace Burdock
