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
    microseconds_ = known_ ? microseconds_ + (microseconds - microseconds_) * SampleWeight : microseconds;
    known_ = true;
}

Duration LatencyAverage::value() const
{
    return Duration(static_cast<Duration::rep>(microseconds_));
}

bool LatencyAverage::known() const
{
    return known_;
}

} // namespace Burdock
