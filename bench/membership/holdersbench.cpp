#include "statistics.h"

#include <burdock/policy/holderchoice.h>

#include <chrono>
#include <cmath>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

using namespace Burdock;

namespace
{

constexpr std::size_t Servers = 4300;
constexpr std::size_t DataCentres = 5;

Place placeOf(std::size_t dataCentre)
{
    return {Region(dataCentre < 3 ? "a" : "b"), DataCentre("dc-" + std::to_string(dataCentre))};
}

std::vector<ListedInstance> instances(std::size_t perDataCentre)
{
    std::vector<ListedInstance> all;
    for (std::size_t index = 0; index < perDataCentre * DataCentres; ++index) {
        all.push_back({InstanceId("burdock-" + std::to_string(index)), placeOf(index % DataCentres), {"10.0.0.1", 1}, {"10.0.0.1", 2}, false});
    }
    return all;
}

std::vector<ListedServer> servers()
{
    std::vector<ListedServer> all;
    for (std::size_t index = 0; index < Servers; ++index) {
        all.push_back({ServerId("parts-" + std::to_string(index)), FleetName("parts"), placeOf(index % DataCentres), {"10.1.0.1", 1}, false});
    }
    return all;
}

using HolderLists = std::vector<std::vector<InstanceId>>;

/// Whether the number of servers per first holder is bounded.
enum class Balance {
    Plain,
    Bounded,
};

const char *nameOf(Balance balance)
{
    return balance == Balance::Plain ? "plain" : "bounded";
}

HolderLists selectHolders(const std::vector<ListedInstance> &live, const std::vector<ListedServer> &all, Balance balance)
{
    const HolderChoice choice(live, balance == Balance::Bounded ? all : std::vector<ListedServer>{});
    HolderLists result;
    for (const ListedServer &server : all) {
        result.push_back(choice.holdersOf(server));
    }
    return result;
}

/// Number of servers per instance, as first holder and as one of the two holders.
void benchDistribution(std::size_t perDataCentre, Balance balance)
{
    const auto live = instances(perDataCentre);
    const auto all = servers();
    std::map<InstanceId, double> first;
    std::map<InstanceId, double> either;
    for (const ListedInstance &instance : live) {
        first[instance.id] = 0;
        either[instance.id] = 0;
    }
    for (const auto &holders : selectHolders(live, all, balance)) {
        first[holders.front()] += 1;
        for (const InstanceId &holder : holders) {
            either[holder] += 1;
        }
    }
    const auto values = [](const std::map<InstanceId, double> &counts) {
        std::vector<double> result;
        result.reserve(counts.size());
        for (const auto &[id, count] : counts) {
            result.push_back(count);
        }
        return result;
    };
    const double mean = static_cast<double>(Servers) / static_cast<double>(live.size());
    std::printf("%s evenness %zu a data centre, %zu servers:", nameOf(balance), perDataCentre, Servers);
    printMinMedianMax(" first holder of", values(first));
    std::printf(" mean %.2f;", mean);
    printMinMedianMax(" either holder of", values(either));
    std::printf(" mean %.2f\n", 2 * mean);
}

/// Fraction of the servers whose first holder or pair of holders changes when one instance is lost.
void benchReassignment(std::size_t perDataCentre, Balance balance)
{
    const auto live = instances(perDataCentre);
    const auto all = servers();
    const HolderLists before = selectHolders(live, all, balance);
    std::vector<double> firstMoved;
    std::vector<double> pairMoved;
    std::vector<double> unrelatedMoves;
    for (std::size_t lostIndex = 0; lostIndex < live.size(); lostIndex += std::max<std::size_t>(1, live.size() / 35)) {
        auto remaining = live;
        remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(lostIndex));
        const HolderLists after = selectHolders(remaining, all, balance);
        double first = 0;
        double pair = 0;
        double unrelated = 0;
        for (std::size_t index = 0; index < Servers; ++index) {
            const bool wasHolder = before[index][0] == live[lostIndex].id || before[index][1] == live[lostIndex].id;
            first += before[index][0] != after[index][0] ? 1 : 0;
            pair += before[index] != after[index] ? 1 : 0;
            unrelated += before[index] != after[index] && !wasHolder ? 1 : 0;
        }
        const double movesPerInstance = static_cast<double>(live.size()) / static_cast<double>(Servers);
        firstMoved.push_back(first * movesPerInstance);
        pairMoved.push_back(pair * movesPerInstance);
        unrelatedMoves.push_back(unrelated);
    }
    std::printf("%s movement %zu a data centre, one of %zu instances gone, in units of 1/N of the servers:", nameOf(balance), perDataCentre, live.size());
    printMinMedianMax(" first holder", firstMoved);
    printMinMedianMax("; either holder", pairMoved);
    printMinMedianMax("; servers moved that it did not hold", unrelatedMoves);
    std::printf("\n");
}

/// Time to select the holders of all servers.
void benchSelectionTime(std::size_t perDataCentre, Balance balance)
{
    constexpr int Rounds = 21;
    const auto live = instances(perDataCentre);
    const auto all = servers();
    std::vector<double> milliseconds;
    for (int round = 0; round < Rounds; ++round) {
        const auto begin = std::chrono::steady_clock::now();
        selectHolders(live, all, balance);
        milliseconds.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count());
    }
    std::printf("%s cost %zu a data centre: all %zu servers", nameOf(balance), perDataCentre, Servers);
    printMinMedianMax(" ms", milliseconds);
    std::printf("\n");
}

} // namespace

int main()
{
    for (const std::size_t perDataCentre : {std::size_t{7}, std::size_t{35}, std::size_t{142}}) {
        for (const Balance balance : {Balance::Plain, Balance::Bounded}) {
            benchDistribution(perDataCentre, balance);
            benchReassignment(perDataCentre, balance);
            benchSelectionTime(perDataCentre, balance);
        }
    }
    return 0;
}
