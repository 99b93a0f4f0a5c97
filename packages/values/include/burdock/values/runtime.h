#pragma once

#include <burdock/values/exceptionboundary.h>

#include <chrono>
#include <cstdint>
#include <functional>

namespace Burdock
{

/// A time span in microseconds.
using Duration = std::chrono::microseconds;
/// A time on the monotonic clock of one process. Not meaningful in other processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// A wall-clock time, for records that people read.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Identifies a scheduled call; zero identifies none.
using TimerId = std::uint64_t;

/// The clock and timers of the event loop of a process.
///
/// All code that depends on time takes a Runtime in its constructor. Tests pass a
/// ManualRuntime, whose time advances only on request.
class Runtime
{
public:
    virtual ~Runtime() = default;

    /// Returns the monotonic time. It does not change within one loop iteration unless a callback runs long.
    virtual TimePoint now() const = 0;

    /// Returns the wall-clock time.
    virtual WallTime wallNow() const = 0;

    /// Returns the total time that the machine was suspended, which `now` does not count.
    virtual Duration suspended() const
    {
        return Duration{0};
    }

    /// Calls `callback` once from the loop, `delay` from now and never earlier; a delay of zero or less means the next iteration.
    virtual TimerId schedule(Duration delay, std::function<void()> callback) = 0;

    /// Cancels a scheduled call. Unknown or already fired timers are ignored.
    virtual void cancel(TimerId timer) = 0;

    /// The boundary within which the callbacks of the loop run.
    ExceptionBoundary &boundary()
    {
        return boundary_;
    }

private:
    ExceptionBoundary boundary_;
};

} // namespace Burdock
