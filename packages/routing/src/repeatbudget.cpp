#include <burdock/routing/repeatbudget.h>

#include <algorithm>

namespace Burdock
{

namespace
{

/// Slices of the window; repeats are counted over one slice more, so that no placing of the window holds more.
constexpr std::int64_t SlicesPerWindow = 20;
/// The parts of the ratio and of the slack that are used; the rest covers instances that restart and count anew.
constexpr double UsedRatio = 0.85;
constexpr double UsedSlack = 0.6;

} // namespace

RepeatBudget::RepeatBudget(const RepeatTerms &terms)
    : terms_(terms)
{
}

void RepeatBudget::setTerms(const RepeatTerms &terms)
{
    if (terms.window != terms_.window) {
        // Slices of another length cannot be compared; counting begins anew.
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

void RepeatBudget::firstSent(const ServiceName &service, TimePoint now)
{
    ++sliceOf(service, now).requests;
}

bool RepeatBudget::take(const ServiceName &service, TimePoint now, double reserve)
{
    Usage::Slice &slice = sliceOf(service, now);
    double requests = 0;
    double repeats = 0;
    for (const Usage::Slice &past : usage_[service].slices) {
        requests += past.requests;
        repeats += past.repeats;
    }
    const double allowed = terms_.ratio * UsedRatio * requests + terms_.slack * UsedSlack / static_cast<double>(instances_);
    if (repeats + 1 > allowed * (1 - reserve)) {
        return false;
    }
    ++slice.repeats;
    return true;
}

} // namespace Burdock
