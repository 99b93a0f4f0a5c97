#pragma once

#include <burdock/values/runtime.h>

#include <boost/histogram.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Burdock
{

/// The metrics of a routing instance in the Prometheus text format. Values that other classes own are read when the text is written.
class RouterMetrics
{
public:
    /// Counts an answer by route and outcome.
    void countAnswer(const std::string &route, std::string_view outcome, Duration elapsed, std::uint32_t missingParts);

    /// Counts a client that disconnected before its answer.
    void countDisconnect()
    {
        ++disconnects_;
    }

    /// Adds a value that is read whenever the text is written. `kind` is `counter` or `gauge`.
    void addValue(std::string name, std::string kind, std::string help, std::function<double()> read);

    /// Adds a gauge with labels. `read` calls its argument with the labels, such as `route="a"`, and the value of each series.
    using SeriesVisitor = std::function<void(const std::string &labels, double value)>;
    void addSeries(std::string name, std::string help, std::function<void(const SeriesVisitor &)> read);

    /// Calls `visit` with the name and current value of each added value.
    void forEachValue(const std::function<void(const std::string &, double)> &visit) const;

    /// Returns all metrics in the Prometheus text format, version 0.0.4.
    std::string text() const;

private:
    using Axis = boost::histogram::axis::variable<double>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    struct AnswerStatistics
    {
        Histogram seconds;
        double sum = 0;
        std::uint64_t missingParts = 0;
    };

    struct Value
    {
        std::string name;
        std::string kind;
        std::string help;
        std::function<double()> read;
    };

    struct Series
    {
        std::string name;
        std::string help;
        std::function<void(const SeriesVisitor &)> read;
    };

    std::map<std::pair<std::string, std::string>, AnswerStatistics> answers_;
    std::uint64_t disconnects_ = 0;
    std::vector<Value> values_;
    std::vector<Series> series_;
};

} // namespace Burdock
