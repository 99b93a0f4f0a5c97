#pragma once

#include <burdock/values/runtime.h>

#include <map>
#include <unordered_map>

namespace Burdock
{

/// A runtime for tests whose time advances only on request.
class ManualRuntime final : public Runtime
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
    Duration suspended() const override;
    TimerId schedule(Duration delay, std::function<void()> callback) override;
    void cancel(TimerId timer) override;

    /// Moves time forward, firing due timers in order, each at its due time.
    void advance(Duration span);

    /// Moves time forward without firing timers, as after a process freeze; due timers fire at the next advance.
    void freezeFor(Duration span);

    /// Adds suspended time, which the monotonic clock does not count.
    void suspendFor(Duration span);

    /// Returns the number of scheduled timers.
    std::size_t pending() const;

private:
    struct Entry
    {
        TimerId id;
        std::function<void()> callback;
    };

    TimePoint now_{std::chrono::hours(1)};
    Duration suspended_{0};
    TimerId lastTimer_ = 0;
    using Entries = std::multimap<TimePoint, Entry>;
    Entries entries_;
    std::unordered_map<TimerId, Entries::iterator> timers_;
};

} // namespace Burdock
