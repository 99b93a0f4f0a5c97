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
    explicit AnswerCheck(Testbed &bed);

    /// What is untrue about an answer's body; empty where nothing is.
    std::string lieIn(const nlohmann::json &answer, int limit);

    /// How many answers were checked, and how many of them were partial.
    int checked() const;
    int partial() const;

private:
    const nlohmann::json &exact(const std::string &index, std::uint64_t version);

    Testbed &bed_;
    std::map<std::pair<std::string, std::uint64_t>, nlohmann::json> known_;
    int checked_ = 0;
    int partial_ = 0;
};

} // namespace Burdock
