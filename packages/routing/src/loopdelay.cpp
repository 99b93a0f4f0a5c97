#include <burdock/routing/loopdelay.h>

#include <algorithm>

namespace Burdock
{

namespace
{

/// The weight of one sample; with a sample every 200 ms, the average mostly reflects the last second.
constexpr double SampleWeight = 0.25;
/// The upper bound of a sample, so that the effect of one suspension is gone within two seconds.
constexpr Duration MaxSample = std::chrono::milliseconds(200);
/// A request to many shards takes several iterations of the loop. From the first threshold an answer within 100 ms, the shortest
/// target time in use, is at risk. Instances with spare capacity stay below the second.
constexpr Duration CrowdedThreshold = std::chrono::milliseconds(20);
constexpr Duration UncrowdedThreshold = std::chrono::milliseconds(6);
/// The minimum duration of a state: about as long as clients cache the list of instances.
constexpr Duration MinStateDuration = std::chrono::seconds(5);

} // namespace

void LoopDelay::onTimerFired(TimePoint due, TimePoint now)
{
    const Duration sample = std::clamp(now - due, Duration{0}, MaxSample);
    microseconds_ += SampleWeight * (static_cast<double>(sample.count()) - microseconds_);
    const bool late = smoothed() >= (crowded_ ? UncrowdedThreshold : CrowdedThreshold);
    if (late != crowded_ && now >= stateFixedUntil_) {
        crowded_ = late;
        stateFixedUntil_ = now + MinStateDuration;
    }
}

Duration LoopDelay::smoothed() const
{
    return Duration(static_cast<Duration::rep>(microseconds_));
}

bool LoopDelay::crowded() const
{
    return crowded_;
}

} // namespace Burdock
