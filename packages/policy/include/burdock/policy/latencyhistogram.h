#pragma once

#include <burdock/values/runtime.h>

#include <memory>
#include <optional>

namespace Burdock
{

/// A latency histogram with exponential decay: samples lose half their weight every 10 s.
///
/// The buckets are logarithmic from 50 us to 60 s; quantiles are accurate to one seventh.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(LatencyHistogram &&other) noexcept;
    LatencyHistogram &operator=(LatencyHistogram &&other) noexcept;

    void add(Duration sample, TimePoint now);

    /// The latency at `quantile` (0 to 1); nothing if there are too few recent samples.
    std::optional<Duration> quantile(double quantile, TimePoint now) const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Burdock
