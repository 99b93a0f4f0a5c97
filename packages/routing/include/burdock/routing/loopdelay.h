#pragma once

#include <burdock/values/runtime.h>

namespace Burdock
{

/// How late this instance gets to its work, from how late its regular timer fires, and whether that leaves room for more.
///
/// Answers instances whose processor is short, slowed or suspended: others are asked to send clients elsewhere before answers
/// are late. Hysteresis keeps the state from changing with every burst.
class LoopDelay
{
public:
    /// The timer that was due at `due` ran at `now`.
    void ran(TimePoint due, TimePoint now);

    /// The delay of late, smoothed over about a second.
    Duration smoothed() const;

    /// Whether the loop is too late to take more clients.
    bool crowded() const;

private:
    double microseconds_ = 0;
    bool crowded_ = false;
};

} // namespace Burdock
