#include <burdock/declarations/quantity.h>

#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace Burdock
{

namespace
{

constexpr std::array<std::pair<std::string_view, Duration>, 6> DurationUnits{{
    {"d", std::chrono::hours(24)},
    {"h", std::chrono::hours(1)},
    {"m", std::chrono::minutes(1)},
    {"s", std::chrono::seconds(1)},
    {"ms", std::chrono::milliseconds(1)},
    {"us", Duration{1}},
}};
constexpr Duration MaxDuration = std::chrono::hours(24 * 366);

/// Splits off the leading number; nothing if there is none or it is too large.
std::optional<std::pair<std::uint32_t, std::string_view>> splitNumber(std::string_view text)
{
    std::uint32_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc()) {
        return std::nullopt;
    }
    return std::pair{number, text.substr(static_cast<std::size_t>(end - text.data()))};
}

} // namespace

std::optional<Duration> parseDuration(std::string_view text)
{
    const auto split = splitNumber(text);
    if (!split) {
        return std::nullopt;
    }
    for (const auto &[name, unit] : DurationUnits) {
        if (split->second == name && split->first <= MaxDuration / unit) {
            return split->first * unit;
        }
    }
    return std::nullopt;
}

std::optional<std::uint32_t> parseCount(std::string_view text, std::string_view unit)
{
    const auto split = splitNumber(text);
    if (!split || split->second.empty() || split->second.front() != ' ') {
        return std::nullopt;
    }
    const std::string_view word = split->second.substr(1);
    if (word == unit || (word.size() == unit.size() + 1 && word.substr(0, unit.size()) == unit && word.back() == 's')) {
        return split->first;
    }
    return std::nullopt;
}

std::optional<double> parsePercentage(std::string_view text)
{
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    const std::string_view rest = text.substr(static_cast<std::size_t>(end - text.data()));
    if (error != std::errc() || rest != "%" || !(number >= 0.0 && number <= 100.0)) {
        return std::nullopt;
    }
    return number / 100.0;
}

std::string durationText(Duration duration)
{
    for (const auto &[name, unit] : DurationUnits) {
        if (duration >= unit && duration % unit == Duration{0}) {
            return std::to_string(duration / unit) + std::string(name);
        }
    }
    return std::to_string(duration.count()) + "us";
}

} // namespace Burdock
