#pragma once

#include <burdock/values/failure.h>

#include <map>
#include <string>
#include <vector>

namespace Burdock
{

/// One setting of a program: a flag of the command line and the environment variable of the same name.
struct Option
{
    /// The long flag without dashes, such as `store-address`.
    std::string flag;
    /// The placeholder for the value in the help; empty for a switch.
    std::string valueName;
    /// The default value if neither the flag nor the variable is set.
    std::string fallback;
    /// One sentence for the help.
    std::string help;
};

/// The values from the command line and the environment; flags take precedence over variables.
struct OptionValues
{
    std::map<std::string, std::string> values;
    std::vector<std::string> arguments;

    /// Returns the value of a flag, or its fallback.
    const std::string &text(const std::string &flag) const;
    /// Whether a switch is on.
    bool on(const std::string &flag) const;
};

/// The settings of one program, read with getopt_long.
class OptionTable
{
public:
    /// `prefix` is the prefix of every environment variable, such as `BURDOCKD_`.
    OptionTable(std::string program, std::string prefix, std::string summary, std::vector<Option> options);

    /// Parses the flags in argv, only up to the first non-option argument if `stopAtArgument` is set.
    /// The failure lists all unknown flags and all flags without their value.
    Result<OptionValues> read(int argc, char *const argv[], bool stopAtArgument = false) const;

    /// The text of `--help`.
    std::string help() const;

    /// The environment variable of a flag, such as `BURDOCKD_STORE_ADDRESS`.
    std::string variable(const std::string &flag) const;

private:
    std::string program_;
    std::string prefix_;
    std::string summary_;
    std::vector<Option> options_;
};

} // namespace Burdock
