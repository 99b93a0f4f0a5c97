#include "holderdeadlines.h"

#include <utility>

namespace Burdock
{

HolderDeadlines::HolderDeadlines(Runtime &runtime, Handler expired)
    : runtime_(runtime)
    , expired_(std::move(expired))
{
}

HolderDeadlines::~HolderDeadlines()
{
    runtime_.cancel(timer_);
}

void HolderDeadlines::add(TimePoint deadline, const SubRequestId &id)
{
    deadlines_.emplace(deadline, id);
    arm();
}

void HolderDeadlines::remove(TimePoint deadline, const SubRequestId &id)
{
    deadlines_.erase({deadline, id});
}

/// Schedules the timer for the earliest deadline. It may fire for a deadline that was removed in the meantime, but
/// never later than the earliest remaining one.
void HolderDeadlines::arm()
{
    if (deadlines_.empty()) {
        return;
    }
    const TimePoint earliest = deadlines_.begin()->first;
    if (timer_ != 0 && timerAt_ <= earliest) {
        return;
    }
    runtime_.cancel(timer_);
    timerAt_ = earliest;
    timer_ = runtime_.schedule(earliest - runtime_.now(), [this] {
        timer_ = 0;
        expireDue();
    });
}

void HolderDeadlines::expireDue()
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= runtime_.now()) {
        const SubRequestId id = deadlines_.begin()->second;
        deadlines_.erase(deadlines_.begin());
        expired_(id);
    }
    arm();
}

} // namespace Burdock
