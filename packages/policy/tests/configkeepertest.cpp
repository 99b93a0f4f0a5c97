#include <burdock/policy/configkeeper.h>
#include <burdock/policy/configwatchers.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>

using namespace Burdock;

namespace
{

/// Records the actions that the keeper requests.
class RecordingConfigPort final : public ConfigPort
{
public:
    std::uint64_t storeRead = 0;
    std::vector<std::uint64_t> versionRequests;
    std::uint64_t fetchNumber = 0;
    InstanceId fetchedFrom;
    std::vector<std::uint64_t> installed;
    std::size_t announced = 0;
    int watches = 0;

    void readStore(std::uint64_t number) override
    {
        storeRead = number;
    }
    void startWatch() override
    {
        ++watches;
    }
    void stopWatch() override
    {
        --watches;
    }
    void requestVersion(std::uint64_t number, const InstanceId &) override
    {
        versionRequests.push_back(number);
    }
    void fetch(std::uint64_t number, const InstanceId &peer) override
    {
        fetchNumber = number;
        fetchedFrom = peer;
    }
    void announce(const InstanceId &, std::uint64_t) override
    {
        ++announced;
    }
    void install(const ConfigurationPtr &configuration) override
    {
        installed.push_back(configuration->version);
    }
};

const std::vector<InstanceId> Peers{InstanceId("a"), InstanceId("b"), InstanceId("c"), InstanceId("d")};

ConfigCandidate usable(std::uint64_t version)
{
    Configuration configuration;
    configuration.version = version;
    return {version, std::make_shared<const Configuration>(configuration), {}};
}

struct KeeperBench
{
    ManualRuntime runtime;
    RecordingConfigPort port;
    bool watches = false;
    std::vector<InstanceId> peers = Peers;
    ConfigKeeper keeper{runtime, port, ConfigSettings{}, ConfigPeerView{[this] { return peers; }, [this] { return watches; }}, 1};

    /// Starts the keeper with version 5 from the store.
    void startAtFive()
    {
        keeper.start();
        keeper.onStoreAnswer(port.storeRead, usable(5));
        REQUIRE(keeper.mayAdmit());
    }

    /// Advances the time of a running process that receives a probe of a peer every 100 ms.
    void run(Duration span)
    {
        for (Duration passed{0}; passed < span; passed += std::chrono::milliseconds(100)) {
            runtime.advance(std::chrono::milliseconds(100));
            keeper.onPeerVersion(Peers[0], keeper.version());
        }
    }

    void pause()
    {
        runtime.freezeFor(std::chrono::seconds(5));
        REQUIRE_FALSE(keeper.mayAdmit());
    }
};

} // namespace

TEST_CASE("Only higher versions are installed, in any order of arrival", "[config][keeper]")
{
    KeeperBench bench;
    bench.startAtFive();
    const std::uint64_t order[] = {5, 4, 7, 6, 7, 1, 8};
    for (const std::uint64_t version : order) {
        bench.keeper.onOffer(999, Peers[1], true, usable(version));
        bench.keeper.onStoreAnswer(999, usable(version));
    }
    CHECK(bench.port.installed == std::vector<std::uint64_t>{5, 7, 8});
    CHECK(bench.keeper.version() == 8);
    CHECK(bench.keeper.counters().ignoredOlder == 12);
}

TEST_CASE("Answers to requests from before a pause are not used for confirmation", "[config][keeper]")
{
    KeeperBench bench;
    bench.startAtFive();
    bench.run(std::chrono::seconds(2));
    const std::uint64_t readBefore = bench.port.storeRead;
    const std::uint64_t requestBefore = bench.port.versionRequests.back();
    bench.pause();
    bench.keeper.onStoreAnswer(readBefore, {5, nullptr, {}});
    CHECK_FALSE(bench.keeper.mayAdmit());
    bench.keeper.onStoreFailed(bench.port.storeRead);
    for (const InstanceId &peer : Peers) {
        bench.keeper.onOffer(requestBefore, peer, true, {5, nullptr, {}});
    }
    CHECK_FALSE(bench.keeper.mayAdmit());

    SECTION("an answer of the store to a request after the pause confirms")
    {
        bench.keeper.onStoreAnswer(bench.port.storeRead, {5, nullptr, {}});
        CHECK(bench.keeper.mayAdmit());
    }
    SECTION("three confirmed peers confirm while the store is unavailable")
    {
        for (std::size_t i = 0; i < 3; ++i) {
            CHECK_FALSE(bench.keeper.mayAdmit());
            bench.keeper.onOffer(bench.port.versionRequests.back(), Peers[i], true, {5, nullptr, {}});
        }
        CHECK(bench.keeper.mayAdmit());
    }
    SECTION("the highest version of three peers is fetched before work is admitted")
    {
        bench.keeper.onOffer(bench.port.versionRequests.back(), Peers[0], true, {5, nullptr, {}});
        bench.keeper.onOffer(bench.port.versionRequests.back(), Peers[1], true, {6, nullptr, {}});
        bench.keeper.onOffer(bench.port.versionRequests.back(), Peers[2], true, {5, nullptr, {}});
        CHECK_FALSE(bench.keeper.mayAdmit());
        CHECK(bench.port.fetchedFrom == Peers[1]);
        bench.keeper.onOffer(bench.port.fetchNumber, Peers[1], true, usable(6));
        CHECK(bench.keeper.mayAdmit());
    }
    SECTION("unconfirmed peers count only after the peer timeout")
    {
        for (const InstanceId &peer : Peers) {
            bench.keeper.onOffer(bench.port.versionRequests.back(), peer, false, {5, nullptr, {}});
        }
        bench.run(std::chrono::seconds(4));
        CHECK_FALSE(bench.keeper.mayAdmit());
        bench.run(std::chrono::seconds(2));
        CHECK(bench.keeper.mayAdmit());
    }
}

TEST_CASE("A peer that reports a version nobody can deliver does not block admission", "[config][keeper][hostile]")
{
    KeeperBench bench;
    bench.startAtFive();
    bench.keeper.onPeerVersion(Peers[2], UINT64_MAX);
    CHECK(bench.keeper.status().state == "behind");
    CHECK(bench.keeper.mayAdmit());
    bench.run(std::chrono::seconds(2));
    CHECK(bench.keeper.status().state == "current");
    CHECK(bench.keeper.counters().fetchTimeouts == 1);
    bench.pause();
    bench.keeper.onPeerVersion(Peers[2], UINT64_MAX);
    bench.keeper.onStoreAnswer(bench.port.storeRead, {5, nullptr, {}});
    CHECK(bench.keeper.mayAdmit());
}

TEST_CASE("An unusable version is counted once and not fetched again", "[config][keeper][hostile]")
{
    KeeperBench bench;
    bench.startAtFive();
    for (int i = 0; i < 3; ++i) {
        bench.keeper.onStoreAnswer(999, {6, nullptr, "a fault"});
        bench.keeper.onPeerVersion(Peers[1], 6);
    }
    CHECK(bench.keeper.counters().unusable == 1);
    CHECK(bench.keeper.counters().fetches == 0);
    CHECK(bench.keeper.status().unusableFault == "a fault");
    CHECK(bench.keeper.mayAdmit());
    bench.keeper.onStoreAnswer(999, usable(7));
    CHECK(bench.keeper.version() == 7);
    CHECK(bench.keeper.status().unusableFault.empty());
}

TEST_CASE("An instance without peers keeps admitting during a store outage and confirms alone after a pause", "[config][keeper][stale]")
{
    KeeperBench bench;
    bench.peers.clear();
    bench.startAtFive();
    for (int second = 0; second < 60; ++second) {
        bench.runtime.advance(std::chrono::seconds(1));
        bench.keeper.onStoreFailed(bench.port.storeRead);
        REQUIRE(bench.keeper.mayAdmit());
    }
    bench.pause();
    bench.runtime.advance(std::chrono::seconds(6));
    CHECK(bench.keeper.mayAdmit());
}

TEST_CASE("An instance that discovers its peers late still requires several confirmed peers", "[config][keeper]")
{
    KeeperBench bench;
    bench.peers.clear();
    bench.keeper.start();
    for (int second = 0; second < 7; ++second) {
        bench.keeper.onStoreFailed(bench.port.storeRead);
        bench.runtime.advance(std::chrono::seconds(1));
    }
    bench.peers = Peers;
    bench.runtime.advance(std::chrono::milliseconds(300));
    bench.keeper.onStoreFailed(bench.port.storeRead);
    bench.keeper.onPeerVersion(Peers[0], 5);
    bench.keeper.onOffer(bench.port.fetchNumber, Peers[0], true, usable(5));
    CHECK(bench.keeper.version() == 5);
    CHECK_FALSE(bench.keeper.mayAdmit());
    bench.keeper.onOffer(bench.port.versionRequests.back(), Peers[1], true, {5, nullptr, {}});
    CHECK_FALSE(bench.keeper.mayAdmit());
    bench.keeper.onOffer(bench.port.versionRequests.back(), Peers[2], true, {5, nullptr, {}});
    CHECK(bench.keeper.mayAdmit());
}

TEST_CASE("The watch starts and stops with the watcher role and is restarted after it breaks", "[config][keeper]")
{
    KeeperBench bench;
    bench.startAtFive();
    CHECK(bench.port.watches == 0);
    bench.watches = true;
    bench.run(std::chrono::seconds(1));
    CHECK(bench.port.watches == 1);
    bench.keeper.onWatchEnded();
    bench.run(std::chrono::milliseconds(300));
    CHECK(bench.port.watches == 1);
    bench.run(std::chrono::milliseconds(2200));
    CHECK(bench.port.watches == 2);
    bench.watches = false;
    bench.run(std::chrono::seconds(1));
    CHECK(bench.port.watches == 1);
}

TEST_CASE("Each data centre has two watchers, and only one changes when a watcher leaves", "[config][watchers]")
{
    std::vector<ListedInstance> live;
    for (int i = 0; i < 21; ++i) {
        live.push_back({InstanceId("i" + std::to_string(i)), {Region("r"), DataCentre(std::string(1, static_cast<char>('a' + i % 3)))}, {}, {}, false});
    }
    const auto watchers = [&] {
        std::vector<InstanceId> ids;
        for (const ListedInstance &instance : live) {
            if (!instance.leaving && isConfigWatcher(instance, live)) {
                ids.push_back(instance.id);
            }
        }
        return ids;
    };
    const auto before = watchers();
    CHECK(before.size() == 3 * WatchersPerDataCentre);
    const auto gone = std::find_if(live.begin(), live.end(), [&](const ListedInstance &instance) { return instance.id == before[0]; });
    gone->leaving = true;
    const auto after = watchers();
    CHECK(after.size() == 3 * WatchersPerDataCentre);
    CHECK(std::count_if(after.begin(), after.end(), [&](const InstanceId &id) { return std::find(before.begin(), before.end(), id) == before.end(); }) == 1);
}
