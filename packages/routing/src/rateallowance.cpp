#include <burdock/routing/rateallowance.h>

#include <algorithm>

namespace Burdock
{

namespace
{

/// The fraction of a rate that is reserved for senders that disagree on how many they are.
constexpr double DisagreementFraction = 0.05;
/// The fraction of what is left of the allowance that extends the burst.
constexpr double BurstFraction = 0.5;

double secondsOf(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

RateSavings rateSavings(const RateTerms &terms, const RateAllowance &allowance, std::size_t senders)
{
    const double inWindow = terms.perSecond * secondsOf(allowance.window);
    const double allowed = (inWindow + terms.burst) * allowance.overage + allowance.slack;
    const double spare = allowed - terms.perSecond * secondsOf(RateTokenTerm) - inWindow * DisagreementFraction;
    const auto kept = static_cast<double>(senders);
    const bool keepsToken = spare >= kept;
    const double left = keepsToken ? spare - kept : spare;
    return {std::max(1.0, terms.burst + (left > 0 ? left * BurstFraction : left)), keepsToken};
}

} // namespace Burdock
