#pragma once

#include <algorithm>
#include <cstdio>
#include <utility>
#include <vector>

namespace Burdock
{

/// Prints the minimum, median and maximum of the values.
inline void printMinMedianMax(const char *what, std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    std::printf("%s min %.2f median %.2f max %.2f", what, values.front(), values[values.size() / 2], values.back());
}

/// Fits a least-squares line to the points; returns intercept and slope.
inline std::pair<double, double> fitLine(const std::vector<std::pair<double, double>> &points)
{
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    for (const auto &[x, y] : points) {
        sumX += x;
        sumY += y;
        sumXX += x * x;
        sumXY += x * y;
    }
    const auto count = static_cast<double>(points.size());
    const double slope = (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
    return {(sumY - slope * sumX) / count, slope};
}

/// Prints a fitted line and its value at the design size.
inline void printFit(const char *what, const std::vector<std::pair<double, double>> &points, double size)
{
    const auto [intercept, slope] = fitLine(points);
    std::printf("fit %s = %.4g + %.4g * members; at %.0f: %.4g\n", what, intercept, slope, size, intercept + slope * size);
}

} // namespace Burdock
