#pragma once

#include <burdock/values/rank.h>
#include <burdock/values/runtime.h>

#include <boost/histogram.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Burdock
{

/// The metrics of one instance in the Prometheus text format.
///
/// Registered counters are read from their owners when the text is written. Only latencies, coverage and refusals are stored here.
class Metrics
{
public:
    Metrics();

    /// Records the latency and coverage of one answered query or command of a rank.
    void recordAnswer(Rank rank, Duration took, double coverage);

    /// Counts one refused request.
    void recordRefusal(const std::string &code, const std::string &verdict);

    /// Registers a metric whose value is read whenever the text is written. `kind` is `counter` or `gauge`.
    void registerMetric(std::string name, std::string kind, std::string help, std::function<double()> read);

    /// Returns all metrics in the Prometheus text format, version 0.0.4.
    std::string text() const;

private:
    using Axis = boost::histogram::axis::variable<double>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    struct RegisteredMetric
    {
        std::string name;
        std::string kind;
        std::string help;
        std::function<double()> read;
    };

    struct RankRecord
    {
        Histogram latency;
        double latencySum = 0;
        Histogram coverage;
        double coverageSum = 0;
    };

    std::vector<RankRecord> ranks_;
    std::map<std::pair<std::string, std::string>, std::uint64_t> refusals_;
    std::vector<RegisteredMetric> registered_;
};

} // namespace Burdock
