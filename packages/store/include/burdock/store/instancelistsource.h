#pragma once

#include <burdock/values/failure.h>
#include <burdock/values/place.h>

#include <functional>

namespace Burdock
{

/// The platform's list of live and leaving instances and backend servers. The list lags behind the actual state.
class InstanceListSource
{
public:
    virtual ~InstanceListSource() = default;

    /// Starts to follow the list and calls `onChanged` with each newer version. Failures are retried with backoff and
    /// jitter.
    virtual void follow(std::function<void(const InstanceList &)> onChanged) = 0;

    /// Stops following.
    virtual void stop() = 0;
};

} // namespace Burdock
