#include <burdock/fakes/fakeindex.h>

#include <catch2/catch.hpp>

using namespace Burdock;

TEST_CASE("Merged shard results equal the oracle's result for any partitioning of the key space", "[fakes][index]")
{
    const ScoreShape shape = GENERATE(ScoreShape::Even, ScoreShape::Skewed);
    const std::uint64_t shards = GENERATE(1, 4, 51);
    const FakeIndex index(IndexName("parts"), 500, shape);
    std::vector<Hit> merged;
    std::uint64_t total = 0;
    for (std::uint64_t shard = 0; shard < shards; ++shard) {
        const KeyRange range{KeySpace * shard / shards, KeySpace * (shard + 1) / shards};
        const auto hits = index.search(range, 3, "belt", 0, 20);
        merged.insert(merged.end(), hits.begin(), hits.end());
        total += index.total(range, 3, "belt");
    }
    std::sort(merged.begin(), merged.end(), ranksBefore);
    merged.resize(20);
    CHECK(merged == index.oracle(3, "belt", 20));
    CHECK(total == index.total(KeyRange{0, KeySpace}, 3, "belt"));
    CHECK(total < 500);
}

TEST_CASE("Results differ by version and query, and an offset continues a result", "[fakes][index]")
{
    const FakeIndex index(IndexName("parts"), 200, ScoreShape::Even);
    CHECK(index.oracle(1, "belt", 5) != index.oracle(2, "belt", 5));
    CHECK(index.oracle(1, "belt", 5) != index.oracle(1, "hat", 5));
    auto first = index.search(KeyRange{0, KeySpace}, 1, "belt", 0, 3);
    const auto second = index.search(KeyRange{0, KeySpace}, 1, "belt", 3, 2);
    first.insert(first.end(), second.begin(), second.end());
    CHECK(first == index.oracle(1, "belt", 5));
    CHECK(index.search(KeyRange{0, KeySpace}, 1, "belt", 1000, 2).empty());
}

TEST_CASE("A skewed index has its best hits in the upper quarter of the key space", "[fakes][index]")
{
    const FakeIndex index(IndexName("parts"), 2000, ScoreShape::Skewed);
    for (const Hit &hit : index.oracle(1, "belt", 20)) {
        CHECK(FakeIndex::keyOf(hit.id) > KeySpace / 4 * 3);
    }
}
