#include <burdock/routing/costestimate.h>

#include <algorithm>
#include <cmath>

namespace Burdock
{

namespace
{

/// The cost of a request of an unknown route, as a fraction of the route's target time.
constexpr double InitialTargetFraction = 0.1;
/// The number of answers that the fallback counts as in the estimate of a kind.
constexpr double FallbackWeight = 2;
/// The largest weight of past answers, so that an estimate follows a changed cost within as many.
constexpr double MaxWeight = 64;
/// The bounds of a sample as multiples of the estimate.
constexpr double MinSampleFactor = 0.33;
constexpr double MaxSampleFactor = 2;

double remaining(TimePoint at, TimePoint now)
{
    return std::exp2(-static_cast<double>((now - at).count()) / static_cast<double>(CostEstimates::HalfLife.count()));
}

double initialEstimate(Duration target)
{
    return static_cast<double>(target.count()) * InitialTargetFraction;
}

} // namespace

CostKey CostEstimates::routeKey(const CostKey &key)
{
    return {key.route, key.service, {}, 0, 0};
}

const CostEstimates::Kind *CostEstimates::find(const CostKey &key) const
{
    const auto place = places_.find(key);
    return place == places_.end() ? nullptr : &*place->second;
}

CostEstimates::Kind &CostEstimates::touch(const CostKey &key)
{
    const auto place = places_.find(key);
    if (place != places_.end()) {
        kinds_.splice(kinds_.begin(), kinds_, place->second);
        return kinds_.front();
    }
    if (kinds_.size() >= MaxKinds) {
        places_.erase(kinds_.back().key);
        kinds_.pop_back();
    }
    kinds_.push_front(Kind{key});
    places_.emplace(key, kinds_.begin());
    return kinds_.front();
}

double CostEstimates::blended(const Kind *kind, double fallback, TimePoint now)
{
    if (kind == nullptr) {
        return fallback;
    }
    const double kept = remaining(kind->at, now);
    return (kind->microseconds * kept + fallback * FallbackWeight) / (kind->weight * kept + FallbackWeight);
}

void CostEstimates::add(Kind &kind, double estimate, Duration work, TimePoint now)
{
    const double kept = remaining(kind.at, now);
    const double weight = kind.weight * kept;
    const double scale = weight > MaxWeight ? kept * MaxWeight / weight : kept;
    const double sample = std::clamp(static_cast<double>(work.count()), estimate * MinSampleFactor, estimate * MaxSampleFactor);
    kind.microseconds = kind.microseconds * scale + sample;
    kind.weight = kind.weight * scale + 1;
    kind.at = now;
}

void CostEstimates::addSample(const CostKey &key, Duration target, Duration work, TimePoint now)
{
    const CostKey route = routeKey(key);
    const double ofRoute = blended(find(route), initialEstimate(target), now);
    const double ofKind = blended(find(key), ofRoute, now);
    Kind &all = touch(route);
    all.target = target;
    add(all, ofRoute, work, now);
    if (key != route) {
        add(touch(key), ofKind, work, now);
    }
}

CostEstimate CostEstimates::estimate(const CostKey &key, Duration target, TimePoint now) const
{
    const CostKey route = routeKey(key);
    const Kind *all = find(route);
    const Kind *own = key == route ? nullptr : find(key);
    const double work = blended(own, blended(all, initialEstimate(target), now), now);
    const Kind *latest = own != nullptr ? own : all;
    CostEstimate estimate;
    estimate.work = Duration(static_cast<Duration::rep>(work));
    if (latest != nullptr) {
        estimate.weight = latest->weight * remaining(latest->at, now);
        estimate.age = now - latest->at;
    }
    return estimate;
}

void CostEstimates::forEachRoute(TimePoint now, const std::function<void(const CostKey &, const CostEstimate &)> &visit) const
{
    for (const auto &[key, kind] : places_) {
        if (key == routeKey(key)) {
            visit(key, estimate(key, kind->target, now));
        }
    }
}

} // namespace Burdock
