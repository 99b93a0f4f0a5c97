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

using Holdings = std::vector<std::vector<InstanceId>>;

/// With or without the bound on the servers of one first holder.
enum class Balance {
    Plain,
    Bounded,
};

const char *nameOf(Balance balance)
{
    return balance == Balance::Plain ? "plain" : "bounded";
}

Holdings holdings(const std::vector<ListedInstance> &live, const std::vector<ListedServer> &all, Balance balance)
{
    const HolderChoice choice(live, balance == Balance::Bounded ? all : std::vector<ListedServer>{});
    Holdings result;
    for (const ListedServer &server : all) {
        result.push_back(choice.holdersOf(server));
    }
    return result;
}

/// Servers of each instance, as its first holder and as one of two.
void evenness(std::size_t perDataCentre, Balance balance)
{
    const auto live = instances(perDataCentre);
    const auto all = servers();
    std::map<InstanceId, double> first;
    std::map<InstanceId, double> either;
    for (const ListedInstance &instance : live) {
        first[instance.id] = 0;
        either[instance.id] = 0;
    }
    for (const auto &holders : holdings(live, all, balance)) {
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
    printSpread(" first holder of", values(first));
    std::printf(" mean %.2f;", mean);
    printSpread(" either holder of", values(either));
    std::printf(" mean %.2f\n", 2 * mean);
}

/// What part of the servers gets another first holder, or another pair, when one instance goes or comes.
void movement(std::size_t perDataCentre, Balance balance)
{
    const auto live = instances(perDataCentre);
    const auto all = servers();
    const Holdings before = holdings(live, all, balance);
    std::vector<double> firstMoved;
    std::vector<double> pairMoved;
    std::vector<double> needless;
    for (std::size_t gone = 0; gone < live.size(); gone += std::max<std::size_t>(1, live.size() / 35)) {
        auto rest = live;
        rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(gone));
        const Holdings after = holdings(rest, all, balance);
        double first = 0;
        double pair = 0;
        double others = 0;
        for (std::size_t index = 0; index < Servers; ++index) {
            const bool had = before[index][0] == live[gone].id || before[index][1] == live[gone].id;
            first += before[index][0] != after[index][0] ? 1 : 0;
            pair += before[index] != after[index] ? 1 : 0;
            others += before[index] != after[index] && !had ? 1 : 0;
        }
        const double share = static_cast<double>(live.size()) / static_cast<double>(Servers);
        firstMoved.push_back(first * share);
        pairMoved.push_back(pair * share);
        needless.push_back(others);
    }
    std::printf("%s movement %zu a data centre, one of %zu instances gone, in units of 1/N of the servers:", nameOf(balance), perDataCentre, live.size());
    printSpread(" first holder", firstMoved);
    printSpread("; either holder", pairMoved);
    printSpread("; servers moved that it did not hold", needless);
    std::printf("\n");
}

/// The time to choose the holders of all servers.
void cost(std::size_t perDataCentre, Balance balance)
{
    constexpr int Rounds = 21;
    const auto live = instances(perDataCentre);
    const auto all = servers();
    std::vector<double> milliseconds;
    for (int round = 0; round < Rounds; ++round) {
        const auto begin = std::chrono::steady_clock::now();
        holdings(live, all, balance);
        milliseconds.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count());
    }
    std::printf("%s cost %zu a data centre: all %zu servers", nameOf(balance), perDataCentre, Servers);
    printSpread(" ms", milliseconds);
    std::printf("\n");
}

} // namespace

int main()
{
    for (const std::size_t perDataCentre : {std::size_t{7}, std::size_t{35}, std::size_t{142}}) {
        for (const Balance balance : {Balance::Plain, Balance::Bounded}) {
            evenness(perDataCentre, balance);
            movement(perDataCentre, balance);
            cost(perDataCentre, balance);
        }
    }
    return 0;
}
