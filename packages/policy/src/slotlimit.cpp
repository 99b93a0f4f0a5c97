#include <burdock/policy/slotlimit.h>

#include <algorithm>

namespace Burdock
{

namespace
{

constexpr std::uint32_t StartDivisor = 2;
constexpr std::uint32_t KeptOnShed = 2;
constexpr std::uint32_t KeptOnShedOf = 3;

} // namespace

SlotLimit::SlotLimit(std::uint32_t declared)
    : declared_(std::max<std::uint32_t>(declared, 1))
    , limit_(std::max<std::uint32_t>(declared_ / StartDivisor, 1))
{
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

void SlotLimit::answered(TimePoint started, bool limited)
{
    if (!limited || started < loweredAt_) {
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

} // namespace Burdock
