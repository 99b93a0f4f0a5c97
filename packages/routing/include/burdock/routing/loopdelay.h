#pragma once

#include <burdock/values/runtime.h>

namespace Burdock
{

/// Measures the delay of the event loop from how late a periodic timer fires, and decides whether the instance is crowded.
///
/// An instance whose processor is overloaded, throttled or suspended is reported as crowded, so that clients are directed
/// elsewhere before answers become late. Hysteresis and a minimum duration of each state prevent a change with every burst:
/// each change is sent to all instances and costs them processing time.
class LoopDelay
{
public:
    /// Adds a sample: the timer that was due at `due` fired at `now`.
    void onTimerFired(TimePoint due, TimePoint now);

    /// Returns the delay, smoothed over about one second.
    Duration smoothed() const;

    /// Whether the loop is too delayed to accept more clients.
    bool crowded() const;

private:
    double microseconds_ = 0;
    bool crowded_ = false;
    TimePoint stateFixedUntil_{};
};

} // namespace Burdock
