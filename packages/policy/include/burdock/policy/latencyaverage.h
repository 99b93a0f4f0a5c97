#pragma once

#include <burdock/values/runtime.h>

namespace Burdock
{

/// An exponential moving average of durations.
class LatencyAverage
{
public:
    /// Adds a sample. The first sample sets the average.
    void add(Duration sample);

    /// The average; zero before the first sample.
    Duration value() const;

    /// True after the first sample.
    bool hasSamples() const;

private:
    double microseconds_ = 0;
    bool hasSamples_ = false;
};

} // namespace Burdock
