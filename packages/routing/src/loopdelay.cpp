#include <burdock/routing/loopdelay.h>

#include <algorithm>

namespace Burdock
{

namespace
{

/// The weight of one sample; with a sample each 200 ms most of an earlier state is forgotten after a second.
constexpr double SampleWeight = 0.25;
/// A sample counts for at most this, so that one suspension is forgotten within two seconds.
constexpr Duration MaxSample = std::chrono::milliseconds(200);
/// A request to many shards takes several turns of the loop; from the first of these an answer within 100 ms, the shortest target
/// in use, is in doubt. The second is what an instance with room shows.
constexpr Duration CrowdedThreshold = std::chrono::milliseconds(20);
constexpr Duration UncrowdedThreshold = std::chrono::milliseconds(6);
/// For how long a state holds: about as long as clients keep an answer that names the instances.
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
