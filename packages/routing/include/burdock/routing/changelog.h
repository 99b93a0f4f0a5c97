#pragma once

#include <burdock/store/store.h>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Burdock
{

/// The latest changes under one prefix of the store, kept so that other instances can hear of them from this one.
class ChangeLog
{
public:
    /// Everything up to `revision` is known and nothing of it is kept.
    void restart(std::int64_t revision);

    /// One change; older ones are dropped beyond a bound.
    void append(const StoreEntry &entry);

    /// The changes after a revision; nothing where some of them are no longer kept.
    std::optional<std::vector<StoreEntry>> since(std::int64_t revision) const;

private:
    bool started_ = false;
    /// Changes up to this revision are not kept.
    std::int64_t droppedUpTo_ = 0;
    std::deque<StoreEntry> entries_;
    /// The size of all values that are kept.
    std::size_t bytes_ = 0;
};

} // namespace Burdock
