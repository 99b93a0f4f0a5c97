#include <burdock/routing/requesttrial.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

RequestTrial::RequestTrial(CrashGuard &guard, const RequestFingerprint &request, TimePoint now)
    : guard_(guard)
    , request_(request)
    , suspect_(guard.judge(request, now) != CrashGuard::Verdict::Clear)
    , cautious_(suspect_ || guard.isAlarmed(now))
{
}

RequestTrial::~RequestTrial()
{
    for (const Exposure &exposure : exposures_) {
        guard_.onSuspectEnded(exposure.server);
    }
}

bool RequestTrial::isGuilty(TimePoint now) const
{
    return !answered_ && guard_.judge(request_, now) == CrashGuard::Verdict::Guilty;
}

void RequestTrial::wait(std::function<void()> resume)
{
    waiting_.push_back(std::move(resume));
}

void RequestTrial::resumeWaiting()
{
    while (!waiting_.empty() && mayStart()) {
        const auto resume = std::move(waiting_.front());
        waiting_.pop_front();
        resume();
    }
}

void RequestTrial::onSent(const ServerId &server)
{
    ++inFlight_;
    ++sent_;
    if (suspect_ && !answered_) {
        exposures_.push_back({server, guard_.onSuspectSent(server)});
    }
}

void RequestTrial::onEnded(const ServerId &server, Outcome outcome, TimePoint now)
{
    --inFlight_;
    const auto exposure = std::find_if(exposures_.begin(), exposures_.end(), [&server](const Exposure &sent) { return sent.server == server; });
    bool alone = false;
    if (exposure != exposures_.end()) {
        alone = exposure->alone;
        guard_.onSuspectEnded(server);
        exposures_.erase(exposure);
    }
    if (outcome == Outcome::Answered) {
        answered_ = true;
        guard_.onAnswered(request_);
    } else if (outcome == Outcome::Crashed && !answered_) {
        cautious_ = true;
        ++crashed_;
        unreported_.push_back({server, alone});
        lastCrash_ = now;
    }
    reportCrashes(now);
}

void RequestTrial::reportCrashes(TimePoint now)
{
    if (!unreported_.empty() && lastCrash_ <= guard_.withdrawnAt()) {
        crashed_ -= unreported_.size();
        unreported_.clear();
    }
    const bool mostCrashed = 2 * crashed_ > sent_;
    if (unreported_.empty() || answered_ || !(mostCrashed || suspect_ || inFlight_ == 0)) {
        return;
    }
    suspect_ = true;
    guard_.onCrash(request_, std::exchange(unreported_, {}), now);
}

} // namespace Burdock
