#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace Burdock
{

/// Spans of time, to the microsecond.
using Duration = std::chrono::microseconds;
/// A moment on the monotonic clock of one process. Means nothing to another process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// A moment of the calendar, for records that people read.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Names a scheduled call. Zero names none.
using TimerId = std::uint64_t;

/// The clock and the timers of the one loop that a process runs.
///
/// All code that depends on time takes a Runtime through its constructor; tests hand in a
/// ManualRuntime, whose time stands still until they advance it.
class Runtime
{
public:
    virtual ~Runtime() = default;

    /// The monotonic time. Does not change within one turn of the loop's callbacks unless work is long.
    virtual TimePoint now() const = 0;

    /// The calendar time.
    virtual WallTime wallNow() const = 0;

    /// For how long the machine was suspended so far: time that `now` does not count. Grows with each suspension.
    virtual Duration suspended() const
    {
        return Duration{0};
    }

    /// Calls `callback` once from the loop, `delay` from now; a delay of zero or less means the next turn.
    virtual TimerId schedule(Duration delay, std::function<void()> callback) = 0;

    /// Forgets a scheduled call. Unknown or already fired timers are ignored.
    virtual void cancel(TimerId timer) = 0;
};

} // namespace Burdock
