#pragma once

#include "soakworld.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace Burdock
{

struct SoakRequest;

/// Checks what clients get for their keys and which workspace servers are told.
class SoakKeyChecks
{
public:
    using Report = std::function<void(const std::string &promise, const std::string &what)>;

    /// `timed` also checks the time-bounded guarantees. `report` is called for each violation.
    SoakKeyChecks(SoakWorld &world, bool timed, Report report);

    /// Checks a finished request; `status` is 0 if no answer arrived.
    void onRequestFinished(const SoakRequest &request, int status);

    /// Checks, some seconds after the last fault, that no instance serves a withdrawn key; waits for it.
    void checkWithdrawn();

    /// Checks which requests ran, and for which workspace. `ran` tells how often each attempt did.
    void checkEnd(const nlohmann::json &ran);

private:
    /// What an incarnation of an instance did with a key.
    struct Seen
    {
        bool served = false;
        /// When the key was first refused after it was withdrawn.
        std::optional<TimePoint> refusedAt;
    };

    SoakWorld &world_;
    const bool timed_;
    const Report report_;
    std::map<std::tuple<std::string, int, std::string>, Seen> seen_;
    /// Why an attempt must not run.
    std::map<std::string, std::string> notToRun_;
    /// The workspace of the key of each attempt.
    std::map<std::string, std::string> workspaces_;
};

} // namespace Burdock
