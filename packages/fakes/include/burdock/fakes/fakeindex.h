#pragma once

#include <burdock/values/shardmap.h>
#include <burdock/values/subrequest.h>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Burdock
{

/// Distribution of the scores of a FakeIndex over the key space.
enum class ScoreShape {
    /// Scores are independent of the key.
    Even,
    /// The highest scores are concentrated at the upper end of the key space.
    Skewed,
};

/// A deterministic index, used both by the fake servers and as the test oracle.
///
/// It contains the documents `d0` to `dN-1`. A document's key, score, body and whether it matches are pure functions of
/// its id, the query and the index version.
class FakeIndex
{
public:
    FakeIndex(IndexName name, std::uint32_t documents, ScoreShape shape);

    const IndexName &name() const
    {
        return name_;
    }

    /// Returns the key of a document id, in [0, KeySpace).
    static std::uint64_t keyOf(const std::string &id);

    /// Returns the number of matching documents in the range.
    std::uint64_t total(const KeyRange &range, std::uint64_t version, const std::string &query) const;

    /// Returns up to `limit` hits of the range in rank order, starting at `offset`.
    std::vector<Hit> search(const KeyRange &range, std::uint64_t version, const std::string &query, std::uint32_t offset, std::uint32_t limit) const;

    /// Returns the exact result over the whole key space.
    std::vector<Hit> oracle(std::uint64_t version, const std::string &query, std::uint32_t limit) const;

private:
    struct Document
    {
        std::uint64_t key;
        std::string id;
    };

    using CacheKey = std::tuple<KeyRange, std::uint64_t, std::string>;

    /// Returns all hits of the range in rank order. Results are cached so that load tests measure the tier and not the fakes.
    const std::vector<Hit> &ordered(const KeyRange &range, std::uint64_t version, const std::string &query) const;
    std::vector<Hit> matches(const KeyRange &range, std::uint64_t version, const std::string &query) const;
    Hit hit(const Document &document, std::uint64_t version, std::uint64_t hash) const;

    IndexName name_;
    ScoreShape shape_;
    /// By ascending key.
    std::vector<Document> documents_;
    mutable std::map<CacheKey, std::vector<Hit>> cache_;
};

} // namespace Burdock
