#pragma once

#include <burdock/values/runtime.h>

namespace Burdock
{

/// A moving average of spans of time, in which each new sample weighs a fixed part.
class LatencyAverage
{
public:
    /// Takes in one sample; the first one sets the average.
    void add(Duration sample);

    /// The average; zero while there was no sample.
    Duration value() const;

    /// True once there was a sample.
    bool known() const;

private:
    double microseconds_ = 0;
    bool known_ = false;
};

} // namespace Burdock
