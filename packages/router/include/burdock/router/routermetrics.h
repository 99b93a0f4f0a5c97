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
    void answered(const std::string &route, std::string_view outcome, Duration took, std::uint32_t missingParts);

    /// Counts a client that left before its answer.
    void clientLeft()
    {
        ++clientsLeft_;
    }

    /// Names a value that is read whenever the text is written. `kind` is `counter` or `gauge`.
    void watch(std::string name, std::string kind, std::string help, std::function<double()> read);

    /// Calls `tell` with each named value as it is now.
    void forEachWatched(const std::function<void(const std::string &, double)> &tell) const;

    /// The whole as Prometheus text, version 0.0.4.
    std::string text() const;

private:
    using Axis = boost::histogram::axis::variable<double>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    struct Answers
    {
        Histogram seconds;
        double sum = 0;
        std::uint64_t missingParts = 0;
    };

    struct Watched
    {
        std::string name;
        std::string kind;
        std::string help;
        std::function<double()> read;
    };

    std::map<std::pair<std::string, std::string>, Answers> answers_;
    std::uint64_t clientsLeft_ = 0;
    std::vector<Watched> watched_;
};

} // namespace Burdock
