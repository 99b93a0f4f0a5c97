#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace Burdock
{

/// Which write of which process an entry in the store is: the start of its writer in Unix milliseconds, and the number of the
/// write in that life. Later ones are greater.
struct EntryEdition
{
    std::int64_t born = 0;
    std::int64_t sequence = 0;

    /// Whether this one is certainly earlier; not if it is unknown, which a sequence of zero means.
    bool isBefore(const EntryEdition &other) const
    {
        return sequence > 0 && std::tie(born, sequence) < std::tie(other.born, other.sequence);
    }

    auto fields() const
    {
        return std::tie(born, sequence);
    }
};

/// Remembers the entries that were withdrawn from the store.
///
/// A store that is restored from a copy lists entries again that were withdrawn after the copy was made. Such an entry is no later
/// edition than the one withdrawn; a writer that is back writes a later one. Only a bounded number of entries is remembered.
class WithdrawnEntries
{
public:
    /// The entry was withdrawn; `last` is its last known edition.
    void add(const std::string &id, const EntryEdition &last);

    /// The entry is in use again.
    void forget(const std::string &id);

    /// Whether the entry, found in a listing, had been withdrawn already.
    bool covers(const std::string &id, const EntryEdition &listed) const;

private:
    std::map<std::string, EntryEdition> editions_;
    /// The ids in the order in which they were withdrawn.
    std::deque<std::string> order_;
};

} // namespace Burdock
