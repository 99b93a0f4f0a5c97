#pragma once

#include <string_view>
#include <vector>

namespace Burdock
{

/// The text of one file of `charts/`, put into the program by CMake.
struct EmbeddedChart
{
    std::string_view name;
    std::string_view xml;
};

/// All files of `charts/`.
const std::vector<EmbeddedChart> &embeddedCharts();

} // namespace Burdock
