#include <burdock/routing/weightedsplit.h>

#include <algorithm>

namespace Burdock
{

const ServiceName &WeightedSplit::next(const Route &route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    Dealt &dealt = routes_[route.name];
    if (dealt.services != route.services) {
        dealt.services = route.services;
        dealt.owed.assign(route.services.size(), 0);
    }
    double sum = 0;
    for (std::size_t place = 0; place < dealt.services.size(); ++place) {
        dealt.owed[place] += dealt.services[place].weight;
        sum += dealt.services[place].weight;
    }
    const auto most = std::max_element(dealt.owed.begin(), dealt.owed.end()) - dealt.owed.begin();
    dealt.owed[static_cast<std::size_t>(most)] -= sum;
    return route.services[static_cast<std::size_t>(most)].service;
}

} // namespace Burdock
