#include <burdock/routing/connectionshares.h>
#include <burdock/routing/instancetable.h>

#include <catch2/catch.hpp>
#include <optional>
#include <set>
#include <string>

using namespace Burdock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr double Used = ConnectionShares::UsedFraction;

InstanceRecord recordOf(const std::string &id, double cores, bool cutOff)
{
    InstanceRecord record{InstanceId(id), Address{"10.0.0.1", 9000}, Address{"10.0.0.2", 9000}, Region("r"), DataCentre("a"), true, cores, false};
    record.cutOff = cutOff;
    return record;
}

/// Instances that hear of each other's changes when the test says so.
class Fleet
{
public:
    explicit Fleet(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            shares_.emplace_back(idOf(index));
            states_.push_back(State::Connected);
        }
        views_.assign(count, states_);
        hear();
    }

    enum class State { Connected, CutOff, Left };

    /// An instance knows its own state at once.
    void set(std::size_t index, State state)
    {
        states_[index] = state;
        views_[index][index] = state;
        tell(index);
    }

    /// All instances learn the states of all.
    void hear()
    {
        for (std::size_t index = 0; index < states_.size(); ++index) {
            hear(index);
        }
    }

    /// One instance learns the states of all.
    void hear(std::size_t index)
    {
        views_[index] = states_;
        tell(index);
    }

    void wait(Duration span)
    {
        now_ += span;
    }

    double fraction(std::size_t index)
    {
        return shares_[index].fraction(now_);
    }

    /// The fraction of a server's connections that all instances may hold together.
    double sum()
    {
        double sum = 0;
        for (std::size_t index = 0; index < shares_.size(); ++index) {
            sum += fraction(index);
        }
        return sum;
    }

private:
    static InstanceId idOf(std::size_t index)
    {
        return InstanceId("i" + std::to_string(index));
    }

    void tell(std::size_t index)
    {
        std::vector<ConnectionHolder> holders;
        for (std::size_t other = 0; other < states_.size(); ++other) {
            if (views_[index][other] != State::Left) {
                holders.push_back({idOf(other), views_[index][other] == State::CutOff});
            }
        }
        shares_[index].setHolders(holders, now_);
    }

    TimePoint now_{seconds(100)};
    std::vector<ConnectionShares> shares_;
    std::vector<State> states_;
    std::vector<std::vector<State>> views_;
};

using State = Fleet::State;

/// Sets the states of the instances from `first` on.
void setAll(Fleet &fleet, std::size_t first, std::size_t count, State state)
{
    for (std::size_t index = first; index < first + count; ++index) {
        fleet.set(index, state);
    }
}

} // namespace

TEST_CASE("Instances that clients are directed to hold equal shares of the connections", "[connections]")
{
    Fleet fleet(4);
    CHECK(fleet.fraction(0) == Approx(Used / 4));
    CHECK(fleet.sum() == Approx(Used));
    fleet.set(3, State::Left);
    fleet.hear();
    CHECK(fleet.fraction(0) == Approx(Used / 3));
    SECTION("one that is not among them uses as few as it can")
    {
        fleet.wait(seconds(4));
        CHECK(fleet.fraction(3) == 0);
    }
}

TEST_CASE("Instances that serve for others that are cut off hold more connections", "[connections][cutoff]")
{
    Fleet fleet(6);
    setAll(fleet, 0, 3, State::CutOff);
    fleet.hear();
    CHECK(fleet.fraction(5) == Approx(Used / 4.5));
    CHECK(fleet.fraction(0) == Approx(Used / 9));
    CHECK(fleet.sum() == Approx(Used));
    SECTION("if all are cut off, the shares are equal again")
    {
        setAll(fleet, 3, 3, State::CutOff);
        fleet.hear();
        CHECK(fleet.fraction(0) == Approx(Used / 6));
    }
    SECTION("one that reaches the servers again counts the others in full until they do too")
    {
        fleet.set(0, State::Connected);
        CHECK(fleet.fraction(0) == Approx(Used / 6));
        setAll(fleet, 1, 2, State::Connected);
        fleet.hear();
        CHECK(fleet.fraction(0) == Approx(Used / 6));
        // Others may have come back too, whatever it hears of them in the next seconds.
        fleet.set(1, State::CutOff);
        fleet.hear();
        CHECK(fleet.fraction(0) == Approx(Used / 6));
        fleet.wait(seconds(3));
        CHECK(fleet.fraction(0) == Approx(Used / 5.5));
    }
}

TEST_CASE("A leaving instance holds as few connections as it can while others serve", "[connections]")
{
    Fleet fleet(6);
    fleet.set(0, State::Left);
    CHECK(fleet.fraction(0) == 0);
    fleet.hear();
    CHECK(fleet.fraction(0) == 0);
    CHECK(fleet.sum() == Approx(Used));
    SECTION("and if all are leaving")
    {
        setAll(fleet, 1, 5, State::Left);
        fleet.hear();
        CHECK(fleet.sum() == 0);
    }
}

TEST_CASE("Leaving instances keep a full share while all that remain are cut off", "[connections][cutoff]")
{
    Fleet fleet(6);
    setAll(fleet, 0, 3, State::CutOff);
    setAll(fleet, 3, 3, State::Left);
    fleet.hear();
    CHECK(fleet.fraction(5) == Approx(Used / 6));
    CHECK(fleet.sum() <= Used + 1e-9);
    SECTION("for as long as they serve")
    {
        fleet.wait(seconds(3));
        CHECK(fleet.fraction(5) == 0);
    }
    SECTION("or until another is connected")
    {
        fleet.set(0, State::Connected);
        CHECK(fleet.sum() <= 1);
        fleet.hear();
        CHECK(fleet.fraction(5) < Used / 6);
        CHECK(fleet.sum() <= 1);
    }
}

TEST_CASE("A server's connections are not exceeded, whoever has heard of cuts, of their ends and of leaving instances", "[connections][cutoff]")
{
    constexpr std::size_t MaxInstances = 6;
    constexpr double Rounding = 1e-9;
    for (std::size_t count = 1; count <= MaxInstances; ++count) {
        for (std::size_t cut = 0; cut <= count; ++cut) {
            for (std::size_t leaving = 0; cut + leaving <= count; ++leaving) {
                for (unsigned informed = 0; informed < 1U << count; ++informed) {
                    INFO(count << " instances, " << cut << " cut off, " << leaving << " leaving, informed: " << informed);
                    const auto hearSome = [informed, count](Fleet &fleet) {
                        for (std::size_t index = 0; index < count; ++index) {
                            if ((informed >> index & 1U) != 0) {
                                fleet.hear(index);
                            }
                        }
                    };
                    Fleet fleet(count);
                    setAll(fleet, 0, cut, State::CutOff);
                    hearSome(fleet);
                    REQUIRE(fleet.sum() <= Used + Rounding);
                    setAll(fleet, cut, leaving, State::Left);
                    hearSome(fleet);
                    REQUIRE(fleet.sum() <= Used + Rounding);
                    fleet.hear();
                    REQUIRE(fleet.sum() <= Used + Rounding);
                    setAll(fleet, 0, cut, State::Connected);
                    REQUIRE(fleet.sum() <= 1);
                    hearSome(fleet);
                    REQUIRE(fleet.sum() <= 1);
                    fleet.hear();
                    REQUIRE(fleet.sum() <= Used + Rounding);
                }
            }
        }
    }
}

TEST_CASE("A server's connections are not exceeded if instances hear of the others' cuts only after their own has ended", "[connections][cutoff]")
{
    constexpr std::size_t Count = 3;
    double sum = 0;
    for (std::size_t self = 0; self < Count; ++self) {
        const auto holders = [self](bool selfCutOff, bool othersCutOff) {
            std::vector<ConnectionHolder> all;
            for (std::size_t index = 0; index < Count; ++index) {
                all.push_back({InstanceId("i" + std::to_string(index)), index == self ? selfCutOff : othersCutOff});
            }
            return all;
        };
        ConnectionShares shares(InstanceId("i" + std::to_string(self)));
        shares.setHolders(holders(false, false), TimePoint(seconds(100)));
        shares.setHolders(holders(true, false), TimePoint(seconds(101)));
        shares.setHolders(holders(false, false), TimePoint(milliseconds(102100)));
        shares.setHolders(holders(false, true), TimePoint(milliseconds(102200)));
        sum += shares.fraction(TimePoint(milliseconds(102300)));
    }
    CHECK(sum <= 1);
}

TEST_CASE("An instance that clients are directed to only since all larger ones are cut off holds a share of the connections", "[connections][cutoff]")
{
    InstanceTable table(1);
    for (const char *id : {"large1", "large2", "large3"}) {
        table.put(recordOf(id, 4, true));
    }
    table.put(recordOf("small2", 1, false));
    const InstanceRecord self = recordOf("small1", 1, false);
    // Clients use the two small ones.
    REQUIRE(table.addressesFor(self.region, self, 10).size() == 2);
    ConnectionShares shares(self.id);
    shares.setHolders(table.connectionHolders(self), TimePoint(seconds(100)));
    CHECK(shares.fraction(TimePoint(seconds(100))) > 0);
}

TEST_CASE("A server's connections are not exceeded after smaller instances have served for larger ones that were cut off", "[connections][cutoff]")
{
    constexpr std::size_t Large = 3;
    constexpr std::size_t Count = 5;
    for (unsigned informed = 0; informed < 1U << Count; ++informed) {
        INFO("informed: " << informed);
        double sum = 0;
        for (std::size_t self = 0; self < Count; ++self) {
            const bool isInformed = (informed >> self & 1U) != 0;
            InstanceTable table(1);
            ConnectionShares shares(InstanceId("i" + std::to_string(self)));
            const auto hear = [&](bool selfCutOff, bool othersCutOff, TimePoint now) {
                std::optional<InstanceRecord> own;
                for (std::size_t index = 0; index < Count; ++index) {
                    const bool cutOff = index < Large && (index == self ? selfCutOff : othersCutOff);
                    const InstanceRecord record = recordOf("i" + std::to_string(index), index < Large ? 4 : 1, cutOff);
                    if (index == self) {
                        own = record;
                    } else {
                        table.put(record);
                    }
                }
                shares.setHolders(table.connectionHolders(*own), now);
            };
            hear(false, false, TimePoint(seconds(100)));
            hear(true, true, TimePoint(seconds(101)));
            hear(false, !isInformed, TimePoint(seconds(110)));
            sum += shares.fraction(TimePoint(seconds(110)));
        }
        CHECK(sum <= 1);
    }
}
