#pragma once

#include "soakworld.h"

#include <functional>
#include <string>
#include <vector>

namespace Burdock
{

struct SoakRequest;

/// Checks that no more requests of a workspace are run in any window than its rate allows, summed over all instances.
class SoakRateChecks
{
public:
    using Report = std::function<void(const std::string &promise, const std::string &what)>;

    /// `timed` also checks that a lowered rate binds in time.
    SoakRateChecks(SoakWorld &world, bool timed, Report report);

    /// Notes a request that was served.
    void onServed(const SoakRequest &request);

    /// Checks all windows of the soak.
    void checkEnd() const;

private:
    /// A request that was sent and run within this time.
    struct Run
    {
        TimePoint sentAt;
        TimePoint servedAt;
    };

    /// The number of runs that may be within a window that starts then.
    double allowedFrom(TimePoint start) const;

    SoakWorld &world_;
    const bool timed_;
    const Report report_;
    std::vector<Run> runs_;
};

} // namespace Burdock
