#pragma once

#include <string>
#include <vector>

namespace Burdock
{

/// One named value of a log line.
struct LogField
{
    std::string name;
    std::string value;
};

/// Sets up log4cplus to write to standard error; `format` is `text` or `json`, `level` a level's name.
void initializeLogging(const std::string &format, const std::string &level);

/// Writes one line about a change of state, such as `logChange("configuration", "in force", {{"version", "7"}})`.
void logChange(const std::string &subject, const std::string &change, const std::vector<LogField> &fields = {});

/// Writes one line about a change of state that an operator should look at.
void logWarning(const std::string &subject, const std::string &change, const std::vector<LogField> &fields = {});

} // namespace Burdock
