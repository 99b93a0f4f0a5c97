#pragma once

#include <string_view>
#include <vector>

namespace Burdock
{

/// The text of one file of `charts/`, compiled into the program by CMake.
struct EmbeddedChart
{
    std::string_view name;
    std::string_view xml;
};

/// Returns all embedded charts.
const std::vector<EmbeddedChart> &embeddedCharts();

} // namespace Burdock
