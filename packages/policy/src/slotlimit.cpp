#include <burdock/policy/slotlimit.h>

#include <algorithm>

namespace Burdock
{

namespace
{

constexpr std::uint32_t StartDivisor = 2;
constexpr std::uint32_t ShedNumerator = 2;
constexpr std::uint32_t ShedDenominator = 3;
/// The number of service times in one median.
constexpr std::size_t WindowSize = 48;
/// A server counts as slowed if the median exceeds SlowedFactor times the baseline, and as normal again below
/// NormalFactor times the baseline.
constexpr double SlowedFactor = 1.6;
constexpr double NormalFactor = 1.3;
/// Weights of a median below and above the baseline in the baseline's moving average.
constexpr double BaselineWeightDown = 0.25;
constexpr double BaselineWeightUp = 0.01;
constexpr std::uint32_t SlowedDivisor = 2;

} // namespace

SlotLimit::SlotLimit(std::uint32_t declaredSlots)
    : declaredSlots_(std::max<std::uint32_t>(declaredSlots, 1))
    , limit_(std::max<std::uint32_t>(declaredSlots_ / StartDivisor, 1))
{
    window_.reserve(WindowSize);
}

void SlotLimit::setDeclared(std::uint32_t declaredSlots)
{
    declaredSlots_ = std::max<std::uint32_t>(declaredSlots, 1);
    limit_ = std::min(limit_, declaredSlots_);
}

std::uint32_t SlotLimit::current() const
{
    return limit_;
}

void SlotLimit::onAnswered(TimePoint started, Duration took, bool limited, TimePoint now)
{
    recordServiceTime(took, now);
    if (!limited || slowed_ || started < loweredAt_) {
        return;
    }
    if (++consecutiveAnswers_ >= limit_ && limit_ < declaredSlots_) {
        ++limit_;
        consecutiveAnswers_ = 0;
    }
}

void SlotLimit::onShed(TimePoint started, TimePoint now)
{
    consecutiveAnswers_ = 0;
    if (started < loweredAt_) {
        return;
    }
    limit_ = std::max<std::uint32_t>(limit_ * ShedNumerator / ShedDenominator, 1);
    loweredAt_ = now;
}

void SlotLimit::recordServiceTime(Duration took, TimePoint now)
{
    window_.push_back(took);
    if (window_.size() < WindowSize) {
        return;
    }
    const auto median = window_.begin() + WindowSize / 2;
    std::nth_element(window_.begin(), median, window_.end());
    adjustToMedian(static_cast<double>(median->count()), now);
    window_.clear();
}

void SlotLimit::adjustToMedian(double median, TimePoint now)
{
    if (baselineMedian_ <= 0) {
        baselineMedian_ = median;
    }
    baselineMedian_ += (median - baselineMedian_) * (median < baselineMedian_ ? BaselineWeightDown : BaselineWeightUp);
    if (median < baselineMedian_ * NormalFactor) {
        slowed_ = false;
    } else if (median > baselineMedian_ * SlowedFactor) {
        slowed_ = true;
        if (limit_ > std::max<std::uint32_t>(declaredSlots_ / SlowedDivisor, 1)) {
            --limit_;
            loweredAt_ = now;
        }
    }
}

} // namespace Burdock
