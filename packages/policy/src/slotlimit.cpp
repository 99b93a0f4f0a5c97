#include <burdock/policy/slotlimit.h>

#include <algorithm>

namespace Burdock
{

namespace
{

constexpr std::uint32_t StartDivisor = 2;
constexpr std::uint32_t KeptOnShed = 2;
constexpr std::uint32_t KeptOnShedOf = 3;
/// How many service times one judgement looks at.
constexpr std::size_t WindowSize = 48;
/// A median of so many times the usual one counts as slowed, and below so many times as normal again.
constexpr double SlowedAbove = 1.6;
constexpr double NormalBelow = 1.3;
/// How fast the usual median follows a lower and a higher one.
constexpr double FollowDown = 0.25;
constexpr double FollowUp = 0.01;
constexpr std::uint32_t SlowedDivisor = 2;

} // namespace

SlotLimit::SlotLimit(std::uint32_t declared)
    : declared_(std::max<std::uint32_t>(declared, 1))
    , limit_(std::max<std::uint32_t>(declared_ / StartDivisor, 1))
{
    window_.reserve(WindowSize);
}

void SlotLimit::setDeclared(std::uint32_t declared)
{
    declared_ = std::max<std::uint32_t>(declared, 1);
    limit_ = std::min(limit_, declared_);
}

std::uint32_t SlotLimit::current() const
{
    return limit_;
}

void SlotLimit::answered(TimePoint started, Duration took, bool limited, TimePoint now)
{
    learnService(took, now);
    if (!limited || slowed_ || started < loweredAt_) {
        return;
    }
    if (++answersInARow_ >= limit_ && limit_ < declared_) {
        ++limit_;
        answersInARow_ = 0;
    }
}

void SlotLimit::shed(TimePoint started, TimePoint now)
{
    answersInARow_ = 0;
    if (started < loweredAt_) {
        return;
    }
    limit_ = std::max<std::uint32_t>(limit_ * KeptOnShed / KeptOnShedOf, 1);
    loweredAt_ = now;
}

void SlotLimit::learnService(Duration took, TimePoint now)
{
    window_.push_back(took);
    if (window_.size() < WindowSize) {
        return;
    }
    const auto middle = window_.begin() + WindowSize / 2;
    std::nth_element(window_.begin(), middle, window_.end());
    judge(static_cast<double>(middle->count()), now);
    window_.clear();
}

void SlotLimit::judge(double median, TimePoint now)
{
    if (usual_ <= 0) {
        usual_ = median;
    }
    usual_ += (median - usual_) * (median < usual_ ? FollowDown : FollowUp);
    if (median < usual_ * NormalBelow) {
        slowed_ = false;
    } else if (median > usual_ * SlowedAbove) {
        slowed_ = true;
        if (limit_ > std::max<std::uint32_t>(declared_ / SlowedDivisor, 1)) {
            --limit_;
            loweredAt_ = now;
        }
    }
}

} // namespace Burdock
