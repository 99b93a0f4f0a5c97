#include <burdock/policy/claimkey.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace Burdock
{

namespace
{

constexpr std::size_t MaxKeyLength = 200;
constexpr std::size_t UuidLength = 36;
constexpr std::size_t UuidVersionIndex = 14;
constexpr std::size_t MaxSecondsDigits = 11;
constexpr const char *InvalidKeyMessage = "Idempotency-Key must tell when it was made: a UUID of version 7, or SECONDS-REST with the seconds since 1970";

template<class Number>
std::optional<Number> parseNumber(std::string_view text, int base)
{
    Number number{};
    const auto read = std::from_chars(text.data(), text.data() + text.size(), number, base);
    return read.ec == std::errc() && read.ptr == text.data() + text.size() ? std::optional<Number>(number) : std::nullopt;
}

/// Returns the timestamp of a UUID of version 7 in milliseconds since 1970.
std::optional<std::uint64_t> uuidMilliseconds(std::string_view key)
{
    if (key.size() != UuidLength || key[8] != '-' || key[13] != '-' || key[UuidVersionIndex] != '7' || key[18] != '-' || key[23] != '-') {
        return std::nullopt;
    }
    return parseNumber<std::uint64_t>(std::string(key.substr(0, 8)) + std::string(key.substr(9, 4)), 16);
}

std::optional<std::uint64_t> leadingSeconds(std::string_view key)
{
    const std::size_t dash = key.find('-');
    if (dash == std::string_view::npos || dash == 0 || dash > MaxSecondsDigits || dash + 1 == key.size()) {
        return std::nullopt;
    }
    return parseNumber<std::uint64_t>(key.substr(0, dash), 10);
}

} // namespace

std::uint64_t claimBucketOf(WallTime moment)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(moment.time_since_epoch());
    return seconds.count() <= 0 ? 0 : static_cast<std::uint64_t>(seconds / ClaimBucketWidth);
}

Result<WallTime> claimKeyTime(std::string_view key)
{
    if (const auto milliseconds = uuidMilliseconds(key)) {
        return WallTime(std::chrono::milliseconds(*milliseconds));
    }
    if (const auto seconds = leadingSeconds(key)) {
        return WallTime(std::chrono::seconds(*seconds));
    }
    return notRun(Errc::BadRequest, InvalidKeyMessage);
}

Result<ClaimKey> parseClaimKey(const CommandName &command, const std::string &key)
{
    const bool visible = std::all_of(key.begin(), key.end(), [](unsigned char character) { return character > ' ' && character < 0x7f; });
    if (!visible || key.size() > MaxKeyLength) {
        return notRun(Errc::BadRequest, "Idempotency-Key may hold at most " + std::to_string(MaxKeyLength) + " visible ASCII characters");
    }
    const Result<WallTime> made = claimKeyTime(key);
    if (!made) {
        return tl::make_unexpected(made.error());
    }
    return ClaimKey{command, claimBucketOf(*made), key};
}

} // namespace Burdock
