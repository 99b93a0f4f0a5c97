#pragma once

#include <burdock/values/names.h>

#include <cstddef>
#include <set>
#include <vector>

namespace Burdock
{

/// The data centres that operators have emptied: no requests are sent to servers there.
///
/// Only an operator empties a data centre or takes it back. A listing of a store that was restored from a copy may lack an entry that
/// was in force, so what is missing there stays emptied until `dropLapsed`: the operator may write it again meanwhile.
class EmptiedDataCentres
{
public:
    void add(const DataCentre &dataCentre);
    void remove(const DataCentre &dataCentre);
    /// Replaces all entries. `storeDisturbed` states that some may be missing only because the store was restored.
    void replace(const std::vector<DataCentre> &emptied, bool storeDisturbed);
    void dropLapsed();

    bool contains(const DataCentre &dataCentre) const
    {
        return emptied_.count(dataCentre) > 0;
    }

    bool any() const
    {
        return !emptied_.empty();
    }

    std::size_t count() const
    {
        return emptied_.size();
    }

private:
    std::set<DataCentre> emptied_;
    /// Those of the emptied ones that the last listing lacked.
    std::set<DataCentre> lapsed_;
};

} // namespace Burdock
