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

/// How the scores of a FakeIndex lie over the key space.
enum class ScoreShape {
    /// Every part of the key space holds good hits alike.
    Even,
    /// The best hits crowd at the upper end of the key space.
    Skewed,
};

/// An index whose every answer can be computed: the stand-in servers and the tests' oracle share it.
///
/// Holds the documents `d0` to `dN-1`. Key, score, body and whether a document matches are pure functions of
/// the document's id, the query and the index version.
class FakeIndex
{
public:
    FakeIndex(IndexName name, std::uint32_t documents, ScoreShape shape);

    const IndexName &name() const
    {
        return name_;
    }

    /// The key of a document id in [0, KeySpace).
    static std::uint64_t keyOf(const std::string &id);

    /// How many documents of the range match.
    std::uint64_t total(const KeyRange &range, std::uint64_t version, const std::string &query) const;

    /// The hits of the range in the order of answers, from `offset`, at most `limit`.
    std::vector<Hit> search(const KeyRange &range, std::uint64_t version, const std::string &query, std::uint32_t offset, std::uint32_t limit) const;

    /// The exact answer over the whole key space.
    std::vector<Hit> oracle(std::uint64_t version, const std::string &query, std::uint32_t limit) const;

private:
    struct Document
    {
        std::uint64_t key;
        std::string id;
    };

    using Question = std::tuple<KeyRange, std::uint64_t, std::string>;

    /// All hits of the range in the order of answers; kept, so that a load test measures the tier and not its stand-ins.
    const std::vector<Hit> &ordered(const KeyRange &range, std::uint64_t version, const std::string &query) const;
    std::vector<Hit> matches(const KeyRange &range, std::uint64_t version, const std::string &query) const;
    Hit hit(const Document &document, std::uint64_t version, std::uint64_t hash) const;

    IndexName name_;
    ScoreShape shape_;
    /// By ascending key.
    std::vector<Document> documents_;
    mutable std::map<Question, std::vector<Hit>> kept_;
};

} // namespace Burdock
