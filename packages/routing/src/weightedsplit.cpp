#include <burdock/routing/weightedsplit.h>

#include <algorithm>

namespace Burdock
{

const ServiceName &WeightedSplit::next(const Route &route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    SplitState &state = routes_[route.name];
    if (state.services != route.services) {
        state.services = route.services;
        state.credits.assign(route.services.size(), 0);
    }
    double sum = 0;
    for (std::size_t index = 0; index < state.services.size(); ++index) {
        state.credits[index] += state.services[index].weight;
        sum += state.services[index].weight;
    }
    const auto greatest = std::max_element(state.credits.begin(), state.credits.end()) - state.credits.begin();
    state.credits[static_cast<std::size_t>(greatest)] -= sum;
    return route.services[static_cast<std::size_t>(greatest)].service;
}

} // namespace Burdock
