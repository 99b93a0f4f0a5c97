#include <burdock/fakes/fakeindex.h>

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace Burdock
{

namespace
{

/// On average, one document in this many does not match a query.
constexpr std::uint64_t MismatchEvery = 8;
constexpr double TopScore = 100.0;
/// Exponent by which ScoreShape::Skewed raises scores towards the upper end of the key space.
constexpr double SkewExponent = 8.0;
/// Maximum number of cached results; the cache is cleared when it is full.
constexpr std::size_t MaxCachedResults = 512;

std::uint64_t scoreHash(const std::string &id, std::uint64_t version, const std::string &query)
{
    return XXH3_64bits_withSeed(id.data(), id.size(), XXH3_64bits_withSeed(query.data(), query.size(), version));
}

/// Maps a hash to [0, 1).
double unitOf(std::uint64_t hash)
{
    return std::ldexp(static_cast<double>(hash >> 11), -53);
}

} // namespace

FakeIndex::FakeIndex(IndexName name, std::uint32_t documents, ScoreShape shape)
    : name_(std::move(name))
    , shape_(shape)
{
    documents_.reserve(documents);
    for (std::uint32_t number = 0; number < documents; ++number) {
        std::string id = "d" + std::to_string(number);
        documents_.push_back(Document{keyOf(id), std::move(id)});
    }
    std::sort(documents_.begin(), documents_.end(), [](const Document &a, const Document &b) { return a.key < b.key; });
}

std::uint64_t FakeIndex::keyOf(const std::string &id)
{
    return XXH3_64bits(id.data(), id.size()) % KeySpace;
}

Hit FakeIndex::hit(const Document &document, std::uint64_t version, std::uint64_t hash) const
{
    const double place = std::ldexp(static_cast<double>(document.key), -32);
    const double weight = shape_ == ScoreShape::Even ? 1.0 : std::pow(place, SkewExponent);
    return Hit{document.id, TopScore * weight * unitOf(hash), "body of " + document.id + " at version " + std::to_string(version)};
}

std::vector<Hit> FakeIndex::matches(const KeyRange &range, std::uint64_t version, const std::string &query) const
{
    std::vector<Hit> found;
    auto document = std::lower_bound(documents_.begin(), documents_.end(), range.begin, [](const Document &a, std::uint64_t key) { return a.key < key; });
    for (; document != documents_.end() && document->key < range.end; ++document) {
        const std::uint64_t hash = scoreHash(document->id, version, query);
        if (hash % MismatchEvery != 0) {
            found.push_back(hit(*document, version, hash));
        }
    }
    return found;
}

const std::vector<Hit> &FakeIndex::ordered(const KeyRange &range, std::uint64_t version, const std::string &query) const
{
    const CacheKey cacheKey{range, version, query};
    const auto cached = cache_.find(cacheKey);
    if (cached != cache_.end()) {
        return cached->second;
    }
    if (cache_.size() >= MaxCachedResults) {
        cache_.clear();
    }
    std::vector<Hit> found = matches(range, version, query);
    std::sort(found.begin(), found.end(), ranksBefore);
    return cache_.emplace(cacheKey, std::move(found)).first->second;
}

std::uint64_t FakeIndex::total(const KeyRange &range, std::uint64_t version, const std::string &query) const
{
    return ordered(range, version, query).size();
}

std::vector<Hit> FakeIndex::search(const KeyRange &range, std::uint64_t version, const std::string &query, std::uint32_t offset, std::uint32_t limit) const
{
    const std::vector<Hit> &found = ordered(range, version, query);
    const std::size_t begin = std::min<std::size_t>(offset, found.size());
    const std::size_t end = std::min<std::size_t>(begin + limit, found.size());
    return {found.begin() + static_cast<std::ptrdiff_t>(begin), found.begin() + static_cast<std::ptrdiff_t>(end)};
}

std::vector<Hit> FakeIndex::oracle(std::uint64_t version, const std::string &query, std::uint32_t limit) const
{
    return search(KeyRange{0, KeySpace}, version, query, 0, limit);
}

} // namespace Burdock
