#pragma once

#include <burdock/routing/ratelimiter.h>

#include <cstddef>

namespace Burdock
{

/// By how much all instances together may exceed a limit in any span of `window`: they may admit
/// (rate x window + burst) x (1 + overage) + slack requests.
struct RateAllowance
{
    Duration window = std::chrono::seconds(5);
    double overage = 0;
    double slack = 0;

    auto fields() const
    {
        return std::tie(window, overage, slack);
    }
};

/// What the instances may save up of a limit.
struct RateSavings
{
    /// The tokens that all holders, and the instances that use their parts by themselves, may save up together.
    double capacity = 1;
    /// Whether each sender may keep one token, which does not expire, for its next request.
    bool keepsToken = false;

    auto fields() const
    {
        return std::tie(capacity, keepsToken);
    }
};

/// How long a token may be used that a holder gave to an instance.
constexpr Duration RateTokenTerm = std::chrono::milliseconds(600);
/// How long a holder may use the part of the rate that an instance has lent to it.
constexpr Duration RateLoanTerm = std::chrono::milliseconds(1200);

/// Divides the allowance between tokens on their way, senders that disagree on how many they are, kept tokens, and larger bursts.
RateSavings rateSavings(const RateTerms &terms, const RateAllowance &allowance, std::size_t senders);

} // namespace Burdock
