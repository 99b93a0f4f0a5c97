#include <burdock/routing/clientage.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace Burdock
{

namespace
{

/// The number of requests that are considered, and the number before an estimate is made.
constexpr std::size_t MaxSamples = 64;
constexpr std::size_t MinSamples = 8;
/// The initial time is the longest one that this fraction of the requests state, within the tolerance. Requests on connections
/// that were open already state it; a few clients may have far more time than the others.
constexpr std::size_t InitialTimeDivisor = 8;
constexpr std::int64_t ToleranceMs = 2;

std::int64_t initialTime(const std::deque<std::int64_t> &recent)
{
    std::vector<std::int64_t> times(recent.begin(), recent.end());
    std::sort(times.begin(), times.end(), std::greater<>());
    const std::size_t needed = std::max<std::size_t>(2, times.size() / InitialTimeDivisor);
    for (std::size_t first = 0; first + needed <= times.size(); ++first) {
        if (times[first] - times[first + needed - 1] <= ToleranceMs) {
            return times[first];
        }
    }
    return 0;
}

} // namespace

Duration ClientAge::onRequest(const std::string &route, Duration timeLeft)
{
    std::deque<std::int64_t> &recent = recent_[route];
    const auto timeLeftMs = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft).count();
    recent.push_back(timeLeftMs);
    if (recent.size() > MaxSamples) {
        recent.pop_front();
    }
    if (recent.size() < MinSamples) {
        return Duration{0};
    }
    return std::chrono::milliseconds(std::max<std::int64_t>(initialTime(recent) - timeLeftMs, 0));
}

} // namespace Burdock
