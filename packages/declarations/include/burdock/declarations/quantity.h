#pragma once

#include <burdock/values/runtime.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Burdock
{

/// Reads a duration such as `80ms`: a whole number and one of us, ms, s, m, h, d. Nothing where it is none or too long.
std::optional<Duration> parseDuration(std::string_view text);

/// Reads a count that names what it counts, such as `5 slots` or `1 slot` for the unit `slot`.
std::optional<std::uint32_t> parseCount(std::string_view text, std::string_view unit);

/// Reads a part of a whole such as `62.5%`, as a number from 0 to 1.
std::optional<double> parsePercentage(std::string_view text);

/// Writes a duration in its largest whole unit.
std::string durationText(Duration duration);

} // namespace Burdock
