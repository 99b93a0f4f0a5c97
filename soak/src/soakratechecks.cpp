#include "soakratechecks.h"
#include "soakload.h"

#include <algorithm>

namespace Burdock
{

namespace
{

/// The users' rule, with the bounds that SoakWorld writes into the settings.
constexpr Duration Window = std::chrono::seconds(SoakWorld::RateWindowSeconds);
constexpr Duration MaxConfigDelay = std::chrono::seconds(5);
constexpr Duration StabilityWindow = std::chrono::seconds(5);

} // namespace

SoakRateChecks::SoakRateChecks(SoakWorld &world, bool timed, Report report)
    : world_(world)
    , timed_(timed)
    , report_(std::move(report))
{
}

void SoakRateChecks::onServed(const SoakRequest &request)
{
    if (world_.hasWorkspaces() && request.key.workspace == SoakWorkspaces::RatedName) {
        runs_.push_back({request.sentAt, world_.testbed().loop().now()});
    }
}

double SoakRateChecks::allowedFrom(TimePoint start) const
{
    const auto &rates = world_.workspaces().rates();
    double highest = 0;
    for (std::size_t index = 0; index < rates.size(); ++index) {
        const bool isReplaced = index + 1 < rates.size();
        // A lower rate binds one window after all instances, in touch all the time, can have learned of it.
        const bool mayBeInForce = !isReplaced || rates[index + 1].since + MaxConfigDelay + Window > start || !timed_
            || world_.isDisturbedBetween(rates[index + 1].since - 2 * StabilityWindow, start + Window);
        const bool isInWindow = rates[index].since <= start + Window;
        highest = std::max(highest, mayBeInForce && isInWindow ? rates[index].perSecond : 0);
    }
    const double inWindow = highest * SoakWorld::RateWindowSeconds + SoakWorkspaces::Burst;
    return inWindow * (1 + SoakWorld::RateOverage) + SoakWorld::RateSlack;
}

void SoakRateChecks::checkEnd() const
{
    for (const Run &first : runs_) {
        const auto count = std::count_if(
            runs_.begin(), runs_.end(), [&first](const Run &each) { return each.sentAt >= first.sentAt && each.servedAt <= first.sentAt + Window; });
        const double allowed = allowedFrom(first.sentAt);
        if (static_cast<double>(count) > allowed) {
            const auto ago = std::chrono::duration<double>(world_.testbed().loop().now() - first.sentAt).count();
            report_("the rate of a workspace",
                    std::to_string(count) + " requests were run in the window that began " + std::to_string(ago) + " s ago, allowed are "
                        + std::to_string(allowed));
            return;
        }
    }
}

} // namespace Burdock
