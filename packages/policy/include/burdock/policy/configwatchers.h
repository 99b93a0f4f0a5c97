#pragma once

#include <burdock/values/place.h>

#include <vector>

namespace Burdock
{

/// How many instances of each data centre watch the store.
constexpr std::size_t WatchersPerDataCentre = 2;

/// Whether `self` is among the watchers of its data centre: the first by rendezvous order of those that are live
/// and not leaving. Needs no agreement; with differing views a data centre has a watcher more or less for a while.
bool isConfigWatcher(const ListedInstance &self, const std::vector<ListedInstance> &live);

} // namespace Burdock
