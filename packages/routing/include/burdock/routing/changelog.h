#pragma once

#include <burdock/store/store.h>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Burdock
{

/// A bounded log of the latest changes under one prefix of the store, from which this instance serves other instances.
class ChangeLog
{
public:
    /// Clears the log; only changes after `revision` are kept from now on.
    void restart(std::int64_t revision);

    /// Appends a change and drops the oldest ones beyond the bounds on count and size.
    void append(const StoreEntry &entry);

    /// Returns the changes after a revision, or nothing if some of them have been dropped.
    std::optional<std::vector<StoreEntry>> since(std::int64_t revision) const;

private:
    bool started_ = false;
    /// Changes up to and including this revision are not in the log.
    std::int64_t droppedUpTo_ = 0;
    std::deque<StoreEntry> entries_;
    /// The total size of the values in the log.
    std::size_t bytes_ = 0;
};

} // namespace Burdock
