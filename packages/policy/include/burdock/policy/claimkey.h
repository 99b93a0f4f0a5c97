#pragma once

#include <burdock/values/failure.h>
#include <burdock/values/names.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace Burdock
{

/// The calendar time covered by one bucket of claims. Must never change, because bucket numbers are part of the stored
/// keys.
constexpr std::chrono::seconds ClaimBucketWidth{60};

/// The largest clock error for which claims are kept for their declared window. With a larger error, keys are rejected
/// too early or claims are kept too long, but a command never runs twice.
constexpr std::chrono::seconds ClockSkewBound{120};

/// An idempotency key with its command and the time bucket in which it was created.
///
/// All fields are derived from the request alone, so every instance maps a key to the same record at any time.
struct ClaimKey
{
    CommandName command;
    /// The creation time divided by ClaimBucketWidth.
    std::uint64_t bucket = 0;
    std::string key;

    auto fields() const
    {
        return std::tie(command, bucket, key);
    }
};

/// Returns the bucket that contains `moment`; 0 for times before 1970.
std::uint64_t claimBucketOf(WallTime moment);

/// Extracts the creation time from a key: a UUID of version 7, or `SECONDS-REST` with the seconds since 1970. Returns
/// BadRequest for any other form, because a key of unknown age could not be distinguished from one whose claim has been
/// deleted.
Result<WallTime> claimKeyTime(std::string_view key);

/// Validates a key and computes its bucket. Returns BadRequest as claimKeyTime does, or if the key is too long or
/// contains anything but visible ASCII characters.
Result<ClaimKey> parseClaimKey(const CommandName &command, const std::string &key);

} // namespace Burdock
