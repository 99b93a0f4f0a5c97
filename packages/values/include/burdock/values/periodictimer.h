#pragma once

#include <burdock/values/runtime.h>

namespace Burdock
{

/// Calls a function again and again, also after it has thrown.
class PeriodicTimer
{
public:
    PeriodicTimer(Runtime &runtime, Duration interval, std::function<void()> callback);
    ~PeriodicTimer();
    PeriodicTimer(const PeriodicTimer &) = delete;
    PeriodicTimer &operator=(const PeriodicTimer &) = delete;

    /// Makes the first call one interval from now.
    void start();

    /// Makes no further call. May be called by the function.
    void stop();

private:
    void onFired();

    Runtime &runtime_;
    const Duration interval_;
    const std::function<void()> callback_;
    TimerId timer_ = 0;
};

} // namespace Burdock
