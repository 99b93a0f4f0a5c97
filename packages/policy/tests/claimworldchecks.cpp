#include "claimworld.h"

namespace Burdock
{

void ClaimWorld::recordRun(const SubRequest &request)
{
    ++runsByKey_[request.key];
    ++runsByRequest_[request.text];
}

std::uint32_t ClaimWorld::runsOf(const std::string &key) const
{
    const auto found = runsByKey_.find(key);
    return found == runsByKey_.end() ? 0 : found->second;
}

std::uint32_t ClaimWorld::runsOfRequest(std::size_t number) const
{
    const auto found = runsByRequest_.find(std::to_string(number));
    return found == runsByRequest_.end() ? 0 : found->second;
}

std::vector<std::string> ClaimWorld::findViolations() const
{
    std::vector<std::string> violations;
    if (dispatchedAfterDeadline_ > 0) {
        violations.emplace_back("commands were dispatched after their deadline");
    }
    for (const auto &runs : runsByKey_) {
        if (runs.second > 1) {
            violations.push_back(runs.first + " ran " + std::to_string(runs.second) + " times");
        }
    }
    for (std::size_t number = 0; number < requests.size(); ++number) {
        const CallerRequest &request = requests[number];
        const std::string name = "request " + std::to_string(number) + " of " + request.key;
        if (!request.answered) {
            if (!request.instanceLost) {
                violations.push_back(name + " was never answered");
            }
        } else if (!request.result) {
            if (request.result.error().verdict == Verdict::NotRun && runsOfRequest(number) > 0) {
                violations.push_back(name + " was refused as not run, but ran");
            }
        } else if (runsOf(request.key) != 1 || (!request.result->replayed && runsOfRequest(number) != 1)) {
            violations.push_back(name + " was answered, but did not run once");
        }
    }
    return violations;
}

std::string ClaimWorld::makeKey(Duration age, const std::string &rest) const
{
    ManualRuntime start;
    const WallTime made = start.wallNow() + now_.time_since_epoch() - age;
    return std::to_string(std::chrono::duration_cast<std::chrono::seconds>(made.time_since_epoch()).count()) + "-" + rest;
}

} // namespace Burdock
