#include <burdock/routing/emptieddatacentres.h>

namespace Burdock
{

void EmptiedDataCentres::add(const DataCentre &dataCentre)
{
    emptied_.insert(dataCentre);
    lapsed_.erase(dataCentre);
}

void EmptiedDataCentres::remove(const DataCentre &dataCentre)
{
    emptied_.erase(dataCentre);
    lapsed_.erase(dataCentre);
}

void EmptiedDataCentres::replace(const std::vector<DataCentre> &emptied, bool storeDisturbed)
{
    lapsed_ = emptied_;
    for (const DataCentre &dataCentre : emptied) {
        add(dataCentre);
    }
    if (!storeDisturbed) {
        dropLapsed();
    }
}

void EmptiedDataCentres::dropLapsed()
{
    for (const DataCentre &dataCentre : lapsed_) {
        emptied_.erase(dataCentre);
    }
    lapsed_.clear();
}

} // namespace Burdock
