#include <burdock/values/manualruntime.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

TimePoint ManualRuntime::now() const
{
    return now_;
}

WallTime ManualRuntime::wallNow() const
{
    return WallTime(now_.time_since_epoch());
}

Duration ManualRuntime::suspended() const
{
    return suspended_;
}

void ManualRuntime::suspendFor(Duration span)
{
    suspended_ += span;
}

TimerId ManualRuntime::schedule(Duration delay, std::function<void()> callback)
{
    const TimerId id = ++lastTimer_;
    timers_[id] = entries_.emplace(now_ + std::max(delay, Duration{0}), Entry{id, std::move(callback)});
    return id;
}

void ManualRuntime::cancel(TimerId timer)
{
    const auto found = timers_.find(timer);
    if (found != timers_.end()) {
        entries_.erase(found->second);
        timers_.erase(found);
    }
}

void ManualRuntime::advance(Duration span)
{
    const TimePoint end = now_ + span;
    while (!entries_.empty() && entries_.begin()->first <= end) {
        const auto first = entries_.begin();
        now_ = std::max(now_, first->first);
        const auto callback = std::move(first->second.callback);
        timers_.erase(first->second.id);
        entries_.erase(first);
        callback();
    }
    now_ = end;
}

void ManualRuntime::freezeFor(Duration span)
{
    now_ += span;
}

std::size_t ManualRuntime::pending() const
{
    return entries_.size();
}

} // namespace Burdock
