#pragma once

#include <burdock/router/decisionlog.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Burdock
{

/// Collects changes that arrive together and logs them in one line.
///
/// Load: each of hundreds of instances reads each record of every other one, so a line for each change would fill the logs when
/// they restart. The line has the counts, the range of revisions and the first ids.
class ChangeSummary
{
public:
    /// Adds a change of the record `id`. `usable` is whether it can be used after the change.
    void add(const std::string &id, bool usable, std::int64_t revision);

    /// Writes the line, if there are changes, and starts again.
    void write(DecisionLog &log, const char *event);

private:
    std::vector<std::string> ids_;
    std::int64_t usable_ = 0;
    std::int64_t unusable_ = 0;
    std::int64_t firstRevision_ = 0;
    std::int64_t lastRevision_ = 0;
};

} // namespace Burdock
