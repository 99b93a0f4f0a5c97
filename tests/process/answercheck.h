#pragma once

#include "testbed.h"

#include <map>
#include <string>
#include <utility>

namespace Burdock
{

/// Compares answers with the exact results that the fake servers compute.
class AnswerCheck
{
public:
    explicit AnswerCheck(Testbed &testbed);

    /// Describes what is wrong with the body of an answer to a query for `limit` hits; empty if it is correct.
    std::string findViolation(const nlohmann::json &answer, int limit);

    /// The number of answers checked, and how many of them were partial.
    int checkedCount() const;
    int partialCount() const;

private:
    const nlohmann::json &exactHits(const std::string &index, std::uint64_t version);

    Testbed &testbed_;
    std::map<std::pair<std::string, std::uint64_t>, nlohmann::json> exactHits_;
    int checkedCount_ = 0;
    int partialCount_ = 0;
};

} // namespace Burdock
