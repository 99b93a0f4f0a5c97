#include "answercheck.h"

#include <set>

namespace Burdock
{

namespace
{
constexpr int AllDocuments = 100000;
}

AnswerCheck::AnswerCheck(Testbed &testbed)
    : testbed_(testbed)
{
}

const nlohmann::json &AnswerCheck::exactHits(const std::string &index, std::uint64_t version)
{
    auto &known = exactHits_[{index, version}];
    if (known.is_null()) {
        known = testbed_.control("POST", "/fake/oracle", {{"index", index}, {"version", version}, {"query", "belt"}, {"limit", AllDocuments}}).at("hits");
    }
    return known;
}

std::string AnswerCheck::findViolation(const nlohmann::json &answer, int limit)
{
    const auto &snapshot = answer.at("snapshot");
    const auto &all = exactHits(snapshot.at("index").get<std::string>(), snapshot.at("version").get<std::uint64_t>());
    const auto &hits = answer.at("hits");
    const bool complete = answer.at("coverage").at("missing").empty();
    ++checkedCount_;
    partialCount_ += complete ? 0 : 1;
    if (complete != (answer.at("coverage").at("fraction") == 1.0)) {
        return "the coverage fraction contradicts the list of missing shards";
    }
    if (complete) {
        const auto expected = std::min<std::size_t>(static_cast<std::size_t>(limit), all.size());
        if (hits.size() != expected || !std::equal(hits.begin(), hits.end(), all.begin())) {
            return "a complete answer differs from the exact result";
        }
        return {};
    }
    std::set<std::string> returned;
    auto next = all.begin();
    for (const auto &hit : hits) {
        next = std::find(next, all.end(), hit);
        if (next == all.end() || !returned.insert(hit.at("id").get<std::string>()).second) {
            return "a hit is not in the snapshot, out of order or duplicated";
        }
    }
    return {};
}

int AnswerCheck::checkedCount() const
{
    return checkedCount_;
}

int AnswerCheck::partialCount() const
{
    return partialCount_;
}

} // namespace Burdock
