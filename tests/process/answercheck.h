#pragma once

#include "testbed.h"

#include <map>
#include <string>
#include <utility>

namespace Burdock
{

/// Compares answers with what the stand-in servers know to be true.
class AnswerCheck
{
public:
    explicit AnswerCheck(Testbed &testbed);

    /// What is untrue about an answer's body; empty where nothing is.
    std::string findViolation(const nlohmann::json &answer, int limit);

    /// How many answers were checked, and how many of them were partial.
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
