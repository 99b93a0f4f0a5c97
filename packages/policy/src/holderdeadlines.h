#pragma once

#include <burdock/values/runtime.h>
#include <burdock/values/subrequest.h>

#include <functional>
#include <set>

namespace Burdock
{

/// The deadlines of all sub-requests of a holder, sharing one timer.
class HolderDeadlines
{
public:
    using Handler = std::function<void(const SubRequestId &)>;

    /// `expired` is called for each sub-request at its deadline, unless it was removed.
    HolderDeadlines(Runtime &runtime, Handler expired);
    ~HolderDeadlines();
    HolderDeadlines(const HolderDeadlines &) = delete;
    HolderDeadlines &operator=(const HolderDeadlines &) = delete;

    void add(TimePoint deadline, const SubRequestId &id);
    void remove(TimePoint deadline, const SubRequestId &id);

private:
    void arm();
    void expireDue();

    Runtime &runtime_;
    Handler expired_;
    std::set<std::pair<TimePoint, SubRequestId>> deadlines_;
    TimerId timer_ = 0;
    TimePoint timerAt_{};
};

} // namespace Burdock
