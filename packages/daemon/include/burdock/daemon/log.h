#pragma once

#include <string>
#include <vector>

namespace Burdock
{

/// A named value in a log line.
struct LogField
{
    std::string name;
    std::string value;
};

/// Configures log4cplus to write to standard error. `format` is `text` or `json`; `level` is the name of a log level.
void initializeLogging(const std::string &format, const std::string &level);

/// Logs a change of state at level info, such as `logChange("configuration", "in force", {{"version", "7"}})`.
void logChange(const std::string &subject, const std::string &change, const std::vector<LogField> &fields = {});

/// Logs a change of state that needs an operator's attention, at level warn.
void logWarning(const std::string &subject, const std::string &change, const std::vector<LogField> &fields = {});

} // namespace Burdock
