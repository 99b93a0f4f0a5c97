#pragma once

#include <burdock/values/runtime.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Burdock
{

/// Parses a duration such as `80ms`: a whole number and one of us, ms, s, m, h, d. Nothing if it is malformed or too
/// long.
std::optional<Duration> parseDuration(std::string_view text);

/// Parses a count with its unit, such as `5 slots` or `1 slot` for the unit `slot`.
std::optional<std::uint32_t> parseCount(std::string_view text, std::string_view unit);

/// Parses a percentage such as `62.5%` into a fraction from 0 to 1.
std::optional<double> parsePercentage(std::string_view text);

/// Formats a duration in the largest unit that divides it.
std::string durationText(Duration duration);

} // namespace Burdock
