#pragma once

#include <burdock/values/runtime.h>

#include <cstdint>

namespace Burdock
{

/// Outlier ejection of one backend server after consecutive failures.
///
/// Five consecutive failures eject the server for 500 ms. Each further ejection lasts twice as long, up to
/// 4 s. After an ejection, a single failure ejects the server again; five consecutive successes reset this.
class Ejection
{
public:
    void recordSuccess();
    void recordFailure(TimePoint now);

    bool isEjected(TimePoint now) const;

    /// The end of the latest ejection. If it has passed, the server is not ejected.
    TimePoint until() const;

private:
    std::uint32_t consecutiveFailures_ = 0;
    std::uint32_t consecutiveSuccesses_ = 0;
    std::uint32_t ejectionCount_ = 0;
    TimePoint until_{};
};

} // namespace Burdock
