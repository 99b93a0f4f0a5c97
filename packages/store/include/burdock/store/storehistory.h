#pragma once

#include <cstdint>

namespace Burdock
{

/// Revisions that never go back, although a store that is restored from a copy starts a new history and gives out lower ones again.
///
/// A store combines the number of its history, which rises with each restoration, with the revision in it. All revisions of a
/// `Store` are such combined ones: those of a later history are greater than all of an earlier one, so whoever compares revisions
/// needs to know nothing of histories. The revisions of a store without histories, or of history 0, are unchanged.
class StoreHistory
{
public:
    /// Combines a history and a revision in it. The bits suffice for a change each microsecond for twelve days.
    static constexpr std::int64_t combine(std::int64_t history, std::int64_t revision)
    {
        return (history << RevisionBits) | revision;
    }

    static constexpr std::int64_t historyOf(std::int64_t combined)
    {
        return combined >> RevisionBits;
    }

    static constexpr std::int64_t revisionOf(std::int64_t combined)
    {
        return combined & ((std::int64_t{1} << RevisionBits) - 1);
    }

private:
    static constexpr int RevisionBits = 40;
};

} // namespace Burdock
