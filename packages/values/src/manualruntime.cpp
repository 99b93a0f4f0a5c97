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

TimerId ManualRuntime::schedule(Duration delay, std::function<void()> callback)
{
    const TimerId id = ++last_;
    entries_.emplace(now_ + std::max(delay, Duration{0}), Entry{id, std::move(callback)});
    return id;
}

void ManualRuntime::cancel(TimerId timer)
{
    const auto found = std::find_if(entries_.begin(), entries_.end(), [timer](const auto &entry) { return entry.second.id == timer; });
    if (found != entries_.end()) {
        entries_.erase(found);
    }
}

void ManualRuntime::advance(Duration span)
{
    const TimePoint end = now_ + span;
    while (!entries_.empty() && entries_.begin()->first <= end) {
        const auto first = entries_.begin();
        now_ = std::max(now_, first->first);
        const auto callback = std::move(first->second.callback);
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
