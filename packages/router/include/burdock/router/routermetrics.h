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

/// The metrics of a routing instance, written as Prometheus text. Counters with an owner are read from it when the text is written.
class RouterMetrics
{
public:
    /// Counts an answer by route and outcome.
    void countAnswer(const std::string &route, std::string_view outcome, Duration elapsed, std::uint32_t missingParts);

    /// Counts a client that left before its answer.
    void countDisconnect()
    {
        ++disconnects_;
    }

    /// Names a value that is read whenever the text is written. `kind` is `counter` or `gauge`.
    void addValue(std::string name, std::string kind, std::string help, std::function<double()> read);

    /// Calls `tell` with each named value as it is now.
    void forEachValue(const std::function<void(const std::string &, double)> &visit) const;

    /// The whole as Prometheus text, version 0.0.4.
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

    std::map<std::pair<std::string, std::string>, AnswerStatistics> answers_;
    std::uint64_t disconnects_ = 0;
    std::vector<Value> values_;
};

} // namespace Burdock
