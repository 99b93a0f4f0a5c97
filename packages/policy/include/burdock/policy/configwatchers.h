#pragma once

#include <burdock/values/place.h>

#include <vector>

namespace Burdock
{

/// The number of instances per data centre that watch the store.
constexpr std::size_t WatchersPerDataCentre = 2;

/// Returns whether `self` is one of the watchers of its data centre: the first instances in rendezvous order among those
/// that are live and not leaving. Requires no coordination; while views differ, a data centre may temporarily have more
/// or fewer watchers.
bool isConfigWatcher(const ListedInstance &self, const std::vector<ListedInstance> &live);

} // namespace Burdock
