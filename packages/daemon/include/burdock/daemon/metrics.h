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

/// The metrics of one instance, written as Prometheus text.
///
/// Counters are read from their owners when the text is written; only latencies and coverage are kept here.
class Metrics
{
public:
    Metrics();

    /// Counts one answered query or command of a rank.
    void recordAnswer(Rank rank, Duration took, double coverage);

    /// Counts one refusal.
    void recordRefusal(const std::string &code, const std::string &verdict);

    /// Names a value that is read whenever the text is written. `kind` is `counter` or `gauge`.
    void registerMetric(std::string name, std::string kind, std::string help, std::function<double()> read);

    /// The whole as Prometheus text, version 0.0.4.
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
