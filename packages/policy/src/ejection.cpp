#include <burdock/policy/ejection.h>

#include <algorithm>

namespace Burdock
{

namespace
{

constexpr std::uint32_t FailuresToEject = 5;
constexpr std::uint32_t SuccessesToClear = 5;
constexpr Duration FirstEjection = std::chrono::milliseconds(500);
/// The longest ejection is FirstEjection times two to this power.
constexpr std::uint32_t MaxDoublings = 3;

} // namespace

void Ejection::recordSuccess()
{
    consecutiveFailures_ = 0;
    if (++consecutiveSuccesses_ >= SuccessesToClear) {
        ejectionCount_ = 0;
    }
}

void Ejection::recordFailure(TimePoint now)
{
    consecutiveSuccesses_ = 0;
    ++consecutiveFailures_;
    if (isEjected(now)) {
        return;
    }
    if (ejectionCount_ > 0 || consecutiveFailures_ >= FailuresToEject) {
        until_ = now + FirstEjection * (1U << std::min(ejectionCount_, MaxDoublings));
        ++ejectionCount_;
    }
}

bool Ejection::isEjected(TimePoint now) const
{
    return now < until_;
}

TimePoint Ejection::until() const
{
    return until_;
}

} // namespace Burdock
