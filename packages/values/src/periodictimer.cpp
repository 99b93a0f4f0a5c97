#include <burdock/values/periodictimer.h>

#include <utility>

namespace Burdock
{

PeriodicTimer::PeriodicTimer(Runtime &runtime, Duration interval, std::function<void()> callback)
    : runtime_(runtime)
    , interval_(interval)
    , callback_(std::move(callback))
{
}

PeriodicTimer::~PeriodicTimer()
{
    stop();
}

void PeriodicTimer::start()
{
    stop();
    timer_ = runtime_.schedule(interval_, [this] { onFired(); });
}

void PeriodicTimer::stop()
{
    runtime_.cancel(std::exchange(timer_, 0));
}

void PeriodicTimer::onFired()
{
    // Before the call, which may throw or stop the timer.
    timer_ = runtime_.schedule(interval_, [this] { onFired(); });
    callback_();
}

} // namespace Burdock
