#include <burdock/policy/entrylist.h>
#include <burdock/policy/holderchoice.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace Burdock;

namespace
{

constexpr std::uint64_t Seed = 11;

const Place Local{Region("litoral"), DataCentre("l1")};
const Place Near{Region("litoral"), DataCentre("l2")};
const Place Far{Region("norte"), DataCentre("l1")};

EntryCandidate candidate(const std::string &name, const Place &place, bool ready = true, double weight = 1.0)
{
    return {{InstanceId(name), place, {"127.0.0.1", 1}, {"127.0.0.1", 2}, false}, ready, weight};
}

} // namespace

TEST_CASE("An entry list names the nearest instances first", "[entrylist]")
{
    EntryList list({3, 1, std::chrono::seconds(10)}, Seed);
    std::vector<EntryCandidate> all;
    for (int index = 0; index < 5; ++index) {
        all.push_back(candidate("f" + std::to_string(index), Far));
        all.push_back(candidate("n" + std::to_string(index), Near));
        all.push_back(candidate("h" + std::to_string(index), Local));
    }
    list.setCandidates(all);
    const auto distancesOf = [](const EntryAnswer &answer, const Place &from) {
        std::string text;
        for (const ListedInstance &entry : answer.entries) {
            text += std::to_string(static_cast<int>(distanceBetween(from, entry.place)));
        }
        return text;
    };
    CHECK(distancesOf(list.answerFor(Local), Local) == "00012");
    CHECK(distancesOf(list.answerFor(Near), Near) == "00012");
    CHECK(distancesOf(list.answerFor(Far), Far) == "0002");
    CHECK(list.answerFor(Local).maxAge == std::chrono::seconds(10));

    SECTION("a caller without a place gets entries too")
    {
        CHECK(list.answerFor(Place{}).entries.size() == 3);
    }
}

TEST_CASE("Instances that are leaving, not ready or of zero weight are excluded", "[entrylist]")
{
    EntryList list({}, Seed);
    EntryCandidate leaving = candidate("leaving", Local);
    leaving.instance.leaving = true;
    list.setCandidates({candidate("unready", Local, false), leaving, candidate("weightless", Local, true, 0.0), candidate("good", Far)});
    const EntryAnswer answer = list.answerFor(Local);
    REQUIRE(answer.entries.size() == 1);
    CHECK(answer.entries.front().id == InstanceId("good"));
    list.setCandidates({});
    CHECK(list.answerFor(Local).entries.empty());
}

TEST_CASE("Callers are distributed over the nearest entries by weight", "[entrylist]")
{
    EntryList list({1, 0, std::chrono::seconds(10)}, Seed);
    list.setCandidates({candidate("a", Local, true, 1.0), candidate("b", Local, true, 1.0), candidate("c", Local, true, 2.0)});
    std::map<std::string, int> first;
    for (int round = 0; round < 4000; ++round) {
        ++first[list.answerFor(Local).entries.front().id.text()];
    }
    CHECK(first["a"] == Approx(1000).epsilon(0.1));
    CHECK(first["b"] == Approx(1000).epsilon(0.1));
    CHECK(first["c"] == Approx(2000).epsilon(0.1));
}
