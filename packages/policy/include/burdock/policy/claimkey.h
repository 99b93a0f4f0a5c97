#pragma once

#include <burdock/values/failure.h>
#include <burdock/values/names.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace Burdock
{

/// How much calendar time one bucket of claims spans. Part of the stored keys: it never changes.
constexpr std::chrono::seconds ClaimBucketWidth{60};

/// How far a clock may be from the true time for claims to be kept as long as declared. A clock further off makes the
/// system refuse keys too early or keep claims too long; it never makes a command run twice.
constexpr std::chrono::seconds ClockSkewBound{120};

/// An idempotency key with its command and the bucket of the moment at which it was made.
///
/// Everything follows from the caller's text alone, so that all instances place a key alike for ever.
struct ClaimKey
{
    CommandName command;
    /// The moment of making divided by ClaimBucketWidth.
    std::uint64_t bucket = 0;
    std::string key;

    auto fields() const
    {
        return std::tie(command, bucket, key);
    }
};

/// The bucket of a moment; 0 for moments before 1970.
std::uint64_t claimBucketOf(WallTime moment);

/// When a key was made, by its own text: a UUID of version 7, or `SECONDS-REST` with the seconds since 1970.
/// BadRequest where it is neither, since a key of unknown age could not be told from a forgotten one.
Result<WallTime> claimKeyTime(std::string_view key);

/// Places a key; BadRequest as claimKeyTime, or where it is too long or holds other than visible ASCII.
Result<ClaimKey> parseClaimKey(const CommandName &command, const std::string &key);

} // namespace Burdock
