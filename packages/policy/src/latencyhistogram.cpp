#include <burdock/policy/latencyhistogram.h>

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace Burdock
{

namespace
{

constexpr Duration HalfLife = std::chrono::seconds(10);
/// The minimum time between two decays of the weights.
constexpr Duration DecayInterval = std::chrono::seconds(1);
constexpr Duration MinLatency = std::chrono::microseconds(50);
constexpr Duration MaxLatency = std::chrono::seconds(60);
constexpr int BucketCount = 105;
/// Quantiles are not computed below this total weight, because they would be meaningless.
constexpr double MinWeight = 20;

using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<float>>;

} // namespace

class LatencyHistogram::Private
{
public:
    /// Decays all weights by the time since the last decay, if that is at least DecayInterval.
    void decay(TimePoint now)
    {
        const Duration age = now - decayedAt_;
        if (age < DecayInterval) {
            return;
        }
        const double factor = std::exp2(-static_cast<double>(age.count()) / static_cast<double>(HalfLife.count()));
        histogram_ *= factor;
        weight_ *= factor;
        decayedAt_ = now;
    }

    Histogram histogram_{std::make_tuple(Axis(BucketCount, static_cast<double>(MinLatency.count()), static_cast<double>(MaxLatency.count())))};
    double weight_ = 0;
    TimePoint decayedAt_{};
};

LatencyHistogram::LatencyHistogram()
    : d_(std::make_unique<Private>())
{
}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram &&other) noexcept = default;
LatencyHistogram &LatencyHistogram::operator=(LatencyHistogram &&other) noexcept = default;

void LatencyHistogram::add(Duration sample, TimePoint now)
{
    d_->decay(now);
    d_->histogram_(static_cast<double>(sample.count()));
    d_->weight_ += 1;
}

std::optional<Duration> LatencyHistogram::quantile(double quantile, TimePoint now) const
{
    d_->decay(now);
    if (d_->weight_ < MinWeight) {
        return std::nullopt;
    }
    const double targetWeight = quantile * d_->weight_;
    double sum = 0;
    for (const auto &bucket : boost::histogram::indexed(d_->histogram_, boost::histogram::coverage::all)) {
        sum += *bucket;
        if (sum >= targetWeight) {
            return Duration(static_cast<Duration::rep>(std::min(bucket.bin().upper(), static_cast<double>(MaxLatency.count()))));
        }
    }
    return MaxLatency;
}

} // namespace Burdock
