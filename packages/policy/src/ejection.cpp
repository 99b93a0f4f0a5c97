#include <burdock/policy/ejection.h>

#include <algorithm>

namespace Burdock
{

namespace
{

constexpr std::uint32_t FailuresToEject = 5;
constexpr std::uint32_t AnswersToClear = 5;
constexpr Duration FirstEjection = std::chrono::milliseconds(500);
/// The longest ejection is FirstEjection times two to this power.
constexpr std::uint32_t MostDoublings = 3;

} // namespace

void Ejection::recordAnswer()
{
    failuresInARow_ = 0;
    if (++answersInARow_ >= AnswersToClear) {
        times_ = 0;
    }
}

void Ejection::recordFailure(TimePoint now)
{
    answersInARow_ = 0;
    ++failuresInARow_;
    if (ejected(now)) {
        return;
    }
    if (times_ > 0 || failuresInARow_ >= FailuresToEject) {
        until_ = now + FirstEjection * (1U << std::min(times_, MostDoublings));
        ++times_;
    }
}

bool Ejection::ejected(TimePoint now) const
{
    return now < until_;
}

TimePoint Ejection::until() const
{
    return until_;
}

} // namespace Burdock
