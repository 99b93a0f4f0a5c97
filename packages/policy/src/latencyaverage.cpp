#include <burdock/policy/latencyaverage.h>

namespace Burdock
{

namespace
{
constexpr double SampleWeight = 0.1;
}

void LatencyAverage::add(Duration sample)
{
    const auto microseconds = static_cast<double>(sample.count());
    microseconds_ = hasSamples_ ? microseconds_ + (microseconds - microseconds_) * SampleWeight : microseconds;
    hasSamples_ = true;
}

Duration LatencyAverage::value() const
{
    return Duration(static_cast<Duration::rep>(microseconds_));
}

bool LatencyAverage::hasSamples() const
{
    return hasSamples_;
}

} // namespace Burdock
