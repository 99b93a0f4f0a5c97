#include "soakreport.h"

#include <algorithm>
#include <functional>
#include <sstream>

namespace Burdock
{

namespace
{

constexpr double Width = 1000;
constexpr double PlotHeight = 140;
constexpr double RowHeight = 16;

double milliseconds(Duration span)
{
    return static_cast<double>(span.count()) / 1000;
}

double quantile(std::vector<Duration> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return milliseconds(values[static_cast<std::size_t>(static_cast<double>(values.size() - 1) * fraction)]);
}

/// Draws one line of a plot over time; returns the plot's upper bound, which is at least `minTop`.
double
plot(std::ostream &out, const std::vector<SoakSecond> &seconds, const char *colour, double minTop, const std::function<double(const SoakSecond &)> &value)
{
    double top = minTop;
    for (const SoakSecond &second : seconds) {
        top = std::max(top, value(second));
    }
    out << "<polyline fill='none' stroke='" << colour << "' points='";
    for (std::size_t index = 0; index < seconds.size(); ++index) {
        out << Width * static_cast<double>(index) / static_cast<double>(seconds.size()) << ',' << PlotHeight * (1 - value(seconds[index]) / std::max(top, 1.0))
            << ' ';
    }
    out << "'/>";
    return top;
}

void plots(std::ostream &out, const std::vector<SoakSecond> &seconds)
{
    out << "<h2>Requests per second: all (grey), served (green), refused (orange), failed (red)</h2><svg width='" << Width << "' height='" << PlotHeight
        << "'>";
    const double top = plot(out, seconds, "grey", 1, [](const SoakSecond &second) { return second.requests; });
    plot(out, seconds, "green", top, [](const SoakSecond &second) { return second.served; });
    plot(out, seconds, "orange", top, [](const SoakSecond &second) { return second.refused; });
    plot(out, seconds, "red", top, [](const SoakSecond &second) { return second.failed; });
    out << "</svg><p>maximum: " << top << " per second</p><h2>Latency: median (blue), 99th percentile (purple)</h2><svg width='" << Width << "' height='"
        << PlotHeight << "'>";
    const double latencyTop = plot(out, seconds, "purple", 1, [](const SoakSecond &second) { return quantile(second.latencies, 0.99); });
    plot(out, seconds, "blue", latencyTop, [](const SoakSecond &second) { return quantile(second.latencies, 0.5); });
    out << "</svg><p>maximum: " << latencyTop << " ms</p>";
}

} // namespace

std::string soakReport(std::uint64_t seed, const SoakChecks &checks, const std::vector<InjectedFault> &faults)
{
    std::ostringstream out;
    const double length = std::max<double>(1, static_cast<double>(checks.seconds().size()));
    out << "<!doctype html><meta charset='utf-8'><title>Soak " << seed << "</title><h1>Soak, seed " << seed << "</h1><p>" << soakSummary(checks) << "</p>";
    plots(out, checks.seconds());
    out << "<h2>Faults</h2><svg width='" << Width << "' height='" << RowHeight * static_cast<double>(faults.size()) << "'>";
    for (std::size_t row = 0; row < faults.size(); ++row) {
        const double from = Width * faults[row].from / length;
        const double width = std::max(2.0, Width * (faults[row].until - faults[row].from) / length);
        const double y = RowHeight * static_cast<double>(row);
        out << "<rect x='" << from << "' y='" << y << "' width='" << width << "' height='" << RowHeight - 3 << "' fill='tomato'/><text font-size='11' x='"
            << from + 4 << "' y='" << y + RowHeight - 5 << "'>" << faults[row].name << "</text>";
    }
    out << "</svg><h2>Violations</h2><ul>";
    for (const std::string &violation : checks.violations()) {
        out << "<li>" << violation << "</li>";
    }
    out << "</ul>";
    return out.str();
}

std::string soakSummary(const SoakChecks &checks)
{
    SoakSecond all;
    for (const SoakSecond &second : checks.seconds()) {
        all.requests += second.requests;
        all.served += second.served;
        all.refused += second.refused;
        all.failed += second.failed;
        all.latencies.insert(all.latencies.end(), second.latencies.begin(), second.latencies.end());
    }
    std::ostringstream out;
    out << "requests " << all.requests << ", served " << all.served << ", refused " << all.refused << ", failed " << all.failed << ", median "
        << quantile(all.latencies, 0.5) << " ms, p99 " << quantile(all.latencies, 0.99) << " ms";
    return out.str();
}

} // namespace Burdock
