#pragma once

#include <algorithm>
#include <cstdio>
#include <functional>
#include <sys/resource.h>
#include <vector>

namespace Burdock::Bench
{

/// Processor time used by this process, in microseconds.
inline double processorMicroseconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto micros = [](const timeval &time) { return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_usec); };
    return micros(usage.ru_utime) + micros(usage.ru_stime);
}

/// Prints one figure as `name value unit`.
inline void printValue(const char *name, double value, const char *unit)
{
    std::printf("%-44s %10.3f %s\n", name, value, unit);
}

/// Prints the median, minimum and maximum of several runs.
inline void printMinMedianMax(const char *name, std::vector<double> runs, const char *unit)
{
    std::sort(runs.begin(), runs.end());
    std::printf("%-44s %10.3f %s (min %.3f max %.3f of %zu)\n", name, runs[runs.size() / 2], unit, runs.front(), runs.back(), runs.size());
}

/// Runs the work once as warm-up, then `runs` times; returns each run's processor time per unit, in microseconds.
inline std::vector<double> timeRuns(std::size_t runs, double unitsPerRun, const std::function<void()> &work)
{
    std::vector<double> all;
    work();
    for (std::size_t run = 0; run < runs; ++run) {
        const double before = processorMicroseconds();
        work();
        all.push_back((processorMicroseconds() - before) / unitsPerRun);
    }
    return all;
}

/// Slope of the least-squares line through the points.
inline double slope(const std::vector<std::pair<double, double>> &points)
{
    double sumX = 0;
    double sumY = 0;
    for (const auto &[x, y] : points) {
        sumX += x;
        sumY += y;
    }
    const double meanX = sumX / static_cast<double>(points.size());
    const double meanY = sumY / static_cast<double>(points.size());
    double numerator = 0;
    double denominator = 0;
    for (const auto &[x, y] : points) {
        numerator += (x - meanX) * (y - meanY);
        denominator += (x - meanX) * (x - meanX);
    }
    return numerator / denominator;
}

/// Bytes allocated and not yet freed by the process, as reported by the allocator.
double allocatedBytes();

void benchCodec();
void benchLinks();
void benchHttp();

} // namespace Burdock::Bench
