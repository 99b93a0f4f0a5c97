#include "summary.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace Burdock
{

Summary::Summary(std::string title)
    : title_(std::move(title))
{
}

void Summary::add(const std::string &name, double value)
{
    samples_[name].push_back(value);
}

void Summary::print() const
{
    std::printf("%s\n", title_.c_str());
    for (const auto &[name, values] : samples_) {
        const auto [smallest, largest] = std::minmax_element(values.begin(), values.end());
        std::printf("  %-52s min %10.3f  median %10.3f  max %10.3f\n", name.c_str(), *smallest, quantile(values, 0.5), *largest);
    }
    std::fflush(stdout);
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::lround(fraction * static_cast<double>(values.size() - 1)));
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace Burdock
