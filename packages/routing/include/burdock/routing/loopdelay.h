#pragma once

#include <burdock/values/runtime.h>

namespace Burdock
{

/// How late this instance gets to its work, from how late its regular timer fires, and whether that leaves room for more.
///
/// Answers instances whose processor is short, slowed or suspended: others are asked to send clients elsewhere before answers
/// are late. Hysteresis and a time for which a state holds keep it from changing with every burst: each change is told to all
/// instances, which takes time of theirs.
class LoopDelay
{
public:
    /// The timer that was due at `due` ran at `now`.
    void onTimerFired(TimePoint due, TimePoint now);

    /// The delay of late, smoothed over about a second.
    Duration smoothed() const;

    /// Whether the loop is too late to take more clients.
    bool crowded() const;

private:
    double microseconds_ = 0;
    bool crowded_ = false;
    TimePoint stateFixedUntil_{};
};

} // namespace Burdock
