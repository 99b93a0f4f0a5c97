#include <burdock/routing/changelog.h>

#include <algorithm>
#include <iterator>

namespace Burdock
{

namespace
{

/// Sufficient for a restart of every server of a large deployment; a configuration counts as one change.
constexpr std::size_t MaxEntries = 4096;
/// Limits the size of the values as well, since the smallest instances have little memory.
constexpr std::size_t MaxBytes = std::size_t{4} << 20;

} // namespace

void ChangeLog::restart(std::int64_t revision)
{
    started_ = true;
    droppedUpTo_ = revision;
    entries_.clear();
    bytes_ = 0;
}

void ChangeLog::append(const StoreEntry &entry)
{
    entries_.push_back(entry);
    bytes_ += entry.value.size();
    while (entries_.size() > MaxEntries || (bytes_ > MaxBytes && entries_.size() > 1)) {
        bytes_ -= entries_.front().value.size();
        droppedUpTo_ = entries_.front().modRevision;
        entries_.pop_front();
    }
}

std::optional<std::vector<StoreEntry>> ChangeLog::since(std::int64_t revision) const
{
    if (!started_ || revision < droppedUpTo_) {
        return std::nullopt;
    }
    std::vector<StoreEntry> found;
    std::copy_if(entries_.begin(), entries_.end(), std::back_inserter(found), [revision](const StoreEntry &entry) { return entry.modRevision > revision; });
    return found;
}

} // namespace Burdock
