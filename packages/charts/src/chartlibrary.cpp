#include "embeddedcharts.h"

#include <burdock/charts/chart.h>

#include <map>
#include <stdexcept>
#include <utility>

namespace Burdock
{

namespace
{

Chart readEmbedded(const EmbeddedChart &embedded)
{
    Result<Chart> chart = Chart::parse(embedded.xml);
    if (!chart) {
        throw std::logic_error("chart '" + std::string(embedded.name) + "': " + chart.error().message);
    }
    const std::vector<std::string> faults = chartFaults(*chart);
    if (!faults.empty()) {
        throw std::logic_error("chart '" + std::string(embedded.name) + "': " + faults.front());
    }
    return std::move(*chart);
}

} // namespace

const Chart &chartNamed(std::string_view name)
{
    static std::map<std::string, Chart, std::less<>> charts;
    const auto known = charts.find(name);
    if (known != charts.end()) {
        return known->second;
    }
    for (const EmbeddedChart &embedded : embeddedCharts()) {
        if (embedded.name == name) {
            return charts.emplace(name, readEmbedded(embedded)).first->second;
        }
    }
    throw std::logic_error("there is no chart '" + std::string(name) + "'");
}

std::vector<std::string> chartNames()
{
    std::vector<std::string> names;
    for (const EmbeddedChart &embedded : embeddedCharts()) {
        names.emplace_back(embedded.name);
    }
    return names;
}

} // namespace Burdock
