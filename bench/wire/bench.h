#pragma once

#include <algorithm>
#include <cstdio>
#include <functional>
#include <sys/resource.h>
#include <vector>

namespace Burdock::Bench
{

/// The processor time of this process so far, in microseconds.
inline double processorMicroseconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto micros = [](const timeval &time) { return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_usec); };
    return micros(usage.ru_utime) + micros(usage.ru_stime);
}

/// One figure of a run, as `name value unit`.
inline void print(const char *name, double value, const char *unit)
{
    std::printf("%-44s %10.3f %s\n", name, value, unit);
}

/// The least, the middle and the greatest of several runs.
inline void printRuns(const char *name, std::vector<double> runs, const char *unit)
{
    std::sort(runs.begin(), runs.end());
    std::printf("%-44s %10.3f %s (min %.3f max %.3f of %zu)\n", name, runs[runs.size() / 2], unit, runs.front(), runs.back(), runs.size());
}

/// Runs the work several times and gives the processor time of each run per unit of work.
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

/// The slope of the least-squares line through the points.
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
    double above = 0;
    double below = 0;
    for (const auto &[x, y] : points) {
        above += (x - meanX) * (y - meanY);
        below += (x - meanX) * (x - meanX);
    }
    return above / below;
}

/// Bytes that the process has allocated and not freed, by the allocator's own count.
double allocatedBytes();

void benchCodec();
void benchLinks();
void benchHttp();

} // namespace Burdock::Bench
