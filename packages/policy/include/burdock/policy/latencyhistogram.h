#pragma once

#include <burdock/values/runtime.h>

#include <memory>
#include <optional>

namespace Burdock
{

/// A histogram of latencies in which old samples lose half their weight every ten seconds.
///
/// Buckets are logarithmic, from 50 us to 60 s; a quantile is exact to a seventh.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(LatencyHistogram &&other) noexcept;
    LatencyHistogram &operator=(LatencyHistogram &&other) noexcept;

    void add(Duration sample, TimePoint now);

    /// The span below which the part `quantile` of the weight lies; nothing while there are too few samples.
    std::optional<Duration> quantile(double quantile, TimePoint now) const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Burdock
