#include "membershipnetwork.h"

#include <catch2/catch.hpp>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{

constexpr std::uint64_t Seed = 7;
constexpr std::size_t ClusterSize = 7;

bool inFirstHalf(std::size_t index)
{
    return index < 3;
}

} // namespace

TEST_CASE("Members that are listed and ready see each other", "[membership]")
{
    MembershipNetwork network(Seed);
    network.start(ClusterSize);
    network.advanceUntil([] { return false; }, seconds(5));
    for (std::size_t index = 0; index < ClusterSize; ++index) {
        CHECK(network[index].live().size() == ClusterSize);
    }
    CHECK(network.sum(&MembershipCounters::suspicions) == 0);

    SECTION("a member that is not ready or leaving receives no new work within seconds")
    {
        int changes = 0;
        network[0].onChange([&] { ++changes; });
        network[2].setReady(false);
        CHECK(network.advanceUntil([&] { return network.observersOf(2) == 0; }, seconds(10)) < seconds(3));
        CHECK(network[2].live().size() == ClusterSize - 1);
        CHECK(changes == 1);
        network[2].setReady(true);
        CHECK(network.advanceUntil([&] { return network.observersOf(2) == ClusterSize - 1; }, seconds(10)) < seconds(3));
        network[2].leave();
        network[2].setReady(true);
        CHECK(network.advanceUntil([&] { return network.observersOf(2) == 0; }, seconds(10)) < seconds(3));
        CHECK(network.sum(&MembershipCounters::deaths) == 0);
    }
    SECTION("all members detect a dead member")
    {
        network.kill(4);
        CHECK(network.advanceUntil([&] { return network.observersOf(4) == 0; }, seconds(60)) < seconds(15));
    }
}

TEST_CASE("Lost, duplicated and reordered datagrams cause no false deaths", "[membership]")
{
    struct Case
    {
        double loss;
        double duplicated;
        Duration jitter;
    };
    for (const Case &each : {Case{0.05, 0, {}}, Case{0.2, 0, {}}, Case{0, 0.5, milliseconds(400)}, Case{0.2, 0.2, milliseconds(200)}}) {
        for (std::uint64_t seed = Seed; seed < Seed + 5; ++seed) {
            INFO("loss " << each.loss << ", duplicated " << each.duplicated << ", jitter " << each.jitter.count() << " us, seed " << seed);
            MembershipNetwork network(seed);
            network.loss_ = each.loss;
            network.duplicated_ = each.duplicated;
            network.jitter_ = each.jitter;
            network.start(ClusterSize);
            network.advanceUntil([] { return false; }, seconds(120));
            CHECK(network.sum(&MembershipCounters::deaths) == 0);
            for (std::size_t index = 0; index < ClusterSize; ++index) {
                CHECK(network[index].live().size() == ClusterSize);
            }
        }
    }
}

TEST_CASE("A member that only one other cannot reach is not suspected", "[membership]")
{
    MembershipNetwork network(Seed);
    network.cut_ = [](std::size_t a, std::size_t b) { return a + b == 1; };
    network.start(ClusterSize);
    network.advanceUntil([] { return false; }, minutes(2));
    CHECK(network.sum(&MembershipCounters::suspicions) == 0);
    CHECK(network.sum(&MembershipCounters::pingRequestsSent) > 0);
    CHECK(network.sees(0, 1));
    CHECK(network.sees(1, 0));
}

TEST_CASE("A probe is repeated twice before its target is suspected", "[membership]")
{
    MembershipNetwork network(Seed);
    network.cut_ = [](std::size_t, std::size_t) { return true; };
    network.start(2);
    network.advanceUntil([&] { return network[0].counters().suspicions == 1; }, seconds(5));
    // One for the first list, three in the first period, and two in the next: to the random target and to the
    // suspect.
    CHECK(network[0].counters().pingsSent == 1 + 3 + 2);
}

TEST_CASE("A frozen member rejoins and suspects no other member", "[membership]")
{
    for (const Duration pause : {Duration(milliseconds(1500)), Duration(seconds(5)), Duration(seconds(40))}) {
        INFO("frozen for " << pause.count() << " us");
        MembershipNetwork network(Seed);
        network.start(ClusterSize);
        network.advanceUntil([] { return false; }, seconds(5));
        network.freeze(3);
        network.advanceUntil([] { return false; }, pause);
        CHECK((network.observersOf(3) == 0) == (pause > seconds(20)));
        network.thaw(3);
        CHECK(network.advanceUntil([&] { return network.observersOf(3) == ClusterSize - 1; }, seconds(60)) < seconds(10));
        network.advanceUntil([] { return false; }, seconds(10));
        CHECK(network[3].counters().suspicions == 0);
        CHECK(network[3].counters().pauses == 1);
        CHECK(network[3].live().size() == ClusterSize);
    }
}

TEST_CASE("A network partition between regions is detected and heals", "[membership]")
{
    MembershipNetwork network(Seed);
    network.start(ClusterSize);
    network.advanceUntil([] { return false; }, seconds(5));
    network.cut_ = [](std::size_t a, std::size_t b) { return inFirstHalf(a) != inFirstHalf(b); };
    const auto isSplit = [&] {
        for (std::size_t index = 0; index < ClusterSize; ++index) {
            if (network[index].live().size() != (inFirstHalf(index) ? 3 : 4)) {
                return false;
            }
        }
        return true;
    };
    CHECK(network.advanceUntil(isSplit, minutes(2)) < minutes(1));
    network.advanceUntil([] { return false; }, minutes(60));
    CHECK(isSplit());
    network.cut_ = nullptr;
    const auto isHealed = [&] {
        for (std::size_t index = 0; index < ClusterSize; ++index) {
            if (network[index].live().size() != ClusterSize) {
                return false;
            }
        }
        return true;
    };
    CHECK(network.advanceUntil(isHealed, minutes(2)) < minutes(1));
}

TEST_CASE("A lagging instance list is tolerated", "[membership]")
{
    MembershipNetwork network(Seed);
    network.start(3);
    network.advanceUntil([] { return false; }, seconds(2));

    SECTION("a member that the others' list does not name yet is learned from its probes")
    {
        Membership &joining = network.startOne(3, 1);
        joining.onInstanceList(network.list({0, 1, 2, 3}));
        joining.setReady(true);
        CHECK(network.advanceUntil([&] { return network.observersOf(3) == 3; }, seconds(10)) < seconds(5));
        CHECK(network[0].live().back() == MembershipNetwork::instance(3));
    }
    SECTION("a dead member that is still listed is not live until it restarts")
    {
        network.kill(2);
        network.advanceUntil([&] { return network.observersOf(2) == 0; }, minutes(1));
        for (const std::size_t index : {0, 1}) {
            network[index].onInstanceList(network.list({0, 1, 2}));
        }
        network.advanceUntil([] { return false; }, minutes(2));
        CHECK(network.observersOf(2) == 0);
        network.startOne(2, 5).onInstanceList(network.list({0, 1, 2}));
        network[2].setReady(true);
        CHECK(network.advanceUntil([&] { return network.observersOf(2) == 2; }, seconds(30)) < seconds(15));
    }
    SECTION("a list without live members removes none of them; unlisted dead members are forgotten")
    {
        network[0].onInstanceList(network.list({}));
        network.advanceUntil([] { return false; }, seconds(10));
        CHECK(network[0].live().size() == 3);
        network.kill(2);
        network.advanceUntil([] { return false; }, minutes(7));
        CHECK(network[0].members().size() == 1);
        CHECK(network[1].members().size() == 2);
    }
    SECTION("an older list is ignored, and a leaving mark of the list holds")
    {
        const InstanceList old = network.list({0});
        InstanceList leaving = network.list({0, 1, 2});
        leaving.instances[1].leaving = true;
        network[0].onInstanceList(leaving);
        network[0].onInstanceList(old);
        network.advanceUntil([] { return false; }, seconds(5));
        CHECK_FALSE(network.sees(0, 1));
        CHECK(network.sees(0, 2));
    }
}

TEST_CASE("A restarted member replaces its earlier process, even if its clock went backwards", "[membership]")
{
    for (const std::uint64_t incarnation : {std::uint64_t{100}, std::uint64_t{900}}) {
        MembershipNetwork network(Seed);
        network.start(3);
        network.kill(1);
        network.startOne(1, 500).onInstanceList(network.list({0, 1, 2}));
        network[1].setReady(true);
        network.advanceUntil([] { return false; }, seconds(10));
        REQUIRE(network.observersOf(1) == 2);
        network.kill(1);
        network.startOne(1, incarnation).onInstanceList(network.list({0, 1, 2}));
        network[1].setReady(true);
        network.advanceUntil([] { return false; }, seconds(30));
        CHECK(network.observersOf(1) == 2);
        CHECK(network[1].self().incarnation > 500);
        CHECK(network[0].members()[0].incarnation == network[1].self().incarnation);
    }
}

TEST_CASE("Every probe carries the configuration version in force", "[membership]")
{
    MembershipNetwork network(Seed);
    network.start(ClusterSize);
    network.advanceUntil([] { return false; }, seconds(2));
    // Each member installs a higher version immediately, without simulating the fetch.
    for (std::size_t index = 0; index < ClusterSize; ++index) {
        network[index].onHigherConfigVersion([&network, index](const InstanceId &, std::uint64_t version) { network[index].setConfigVersion(version); });
    }
    network[0].setConfigVersion(9);
    const auto allInstalled = [&] {
        for (std::size_t index = 0; index < ClusterSize; ++index) {
            if (network[index].self().configVersion != 9) {
                return false;
            }
        }
        return true;
    };
    CHECK(network.advanceUntil(allInstalled, seconds(10)) <= seconds(1));

    SECTION("a lower or equal version does not call the handler")
    {
        int calls = 0;
        for (std::size_t index = 0; index < ClusterSize; ++index) {
            network[index].onHigherConfigVersion([&](const InstanceId &, std::uint64_t) { ++calls; });
        }
        network.advanceUntil([] { return false; }, seconds(10));
        CHECK(calls == 0);
    }
}

TEST_CASE("Malicious probes neither crash a member nor exceed its state limits", "[membership]")
{
    MembershipNetwork network(Seed);
    network.start(3);
    network.advanceUntil([] { return false; }, seconds(2));
    const auto sentBefore = network[0].counters().acksSent;
    std::mt19937_64 random(Seed);
    const auto randomName = [&] { return random() % 4 == 0 ? MembershipNetwork::instance(random() % 3).id : InstanceId(std::to_string(random())); };
    for (int round = 0; round < 20000; ++round) {
        ProbeMessage probe{static_cast<ProbeKind>(random() % 3),
                           static_cast<std::uint32_t>(random()),
                           randomName(),
                           random(),
                           static_cast<MemberLife>(random() % 3),
                           random(),
                           randomName(),
                           {}};
        for (std::uint64_t count = random() % 4; count > 0; --count) {
            ProbeUpdate update{randomName(), random(), static_cast<MemberState>(random() % 3), static_cast<MemberLife>(random() % 3), std::nullopt};
            if (random() % 2 == 0) {
                update.details = ListedInstance{update.member, {}, {"10.1.1.1", 1}, {"10.1.1.1", 60000}, false};
            }
            probe.updates.push_back(update);
        }
        network[0].onDatagram({"10.9.9.9", 60000}, probe);
    }
    CHECK(network[0].members().size() <= 2 + network.settings_.maxUnlistedMembers);
    CHECK(network[0].counters().acksSent - sentBefore <= network.settings_.maxAnswersPerPeriod);
    CHECK(network[0].self().incarnation <= MaxIncarnation);
    network.advanceUntil([] { return false; }, seconds(5));
    CHECK(network[0].self().life == MemberLife::Ready);
}

TEST_CASE("700 members detect a death, each with no more traffic than among 70 members", "[membership][fleet]")
{
    // The byte counts are the estimated sizes, an upper bound of the real datagram sizes.
    std::map<std::size_t, double> idleBytesPerSecond;
    for (const std::size_t size : {std::size_t{70}, std::size_t{700}}) {
        MembershipNetwork network(Seed);
        network.start(size);
        network.advanceUntil([] { return false; }, seconds(90));
        for (const auto &node : network.nodes_) {
            node->bytesSent_ = 0;
            node->bytesReceived_ = 0;
        }
        network.advanceUntil([] { return false; }, seconds(10));
        std::uint64_t maxNodeBytes = 0;
        std::uint64_t total = 0;
        for (const auto &node : network.nodes_) {
            maxNodeBytes = std::max(maxNodeBytes, node->bytesSent_ + node->bytesReceived_);
            total += node->bytesSent_ + node->bytesReceived_;
        }
        idleBytesPerSecond[size] = static_cast<double>(total) / static_cast<double>(size) / 10;
        CHECK(maxNodeBytes / 10 < 7000);
        network[1].leave();
        CHECK(network.advanceUntil([&] { return network.observersOf(1) == 0; }, seconds(60)) < seconds(5));
        network.kill(size / 2);
        CHECK(network.advanceUntil([&] { return network.observersOf(size / 2) == 0; }, seconds(60)) < seconds(40));
        CHECK(network.sum(&MembershipCounters::deaths) <= size);
    }
    CHECK(idleBytesPerSecond[700] < 1.2 * idleBytesPerSecond[70]);
}
