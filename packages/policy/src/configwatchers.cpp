#include <burdock/policy/configwatchers.h>

#include <burdock/policy/rendezvous.h>

#include <algorithm>

namespace Burdock
{

bool isConfigWatcher(const ListedInstance &self, const std::vector<ListedInstance> &live)
{
    std::vector<InstanceId> near{self.id};
    for (const ListedInstance &instance : live) {
        if (instance.id != self.id && instance.place == self.place && !instance.leaving) {
            near.push_back(instance.id);
        }
    }
    const auto first = rendezvousFirst("config-watch/" + self.place.dataCentre.text(), near, WatchersPerDataCentre);
    return std::find(first.begin(), first.end(), self.id) != first.end();
}

} // namespace Burdock
