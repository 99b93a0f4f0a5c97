#pragma once

#include <burdock/ctl/toolcontext.h>
#include <burdock/declarations/confighead.h>
#include <burdock/values/configmessages.h>

#include <string>
#include <vector>

namespace Burdock
{

/// A subcommand of burdockctl.
struct Subcommand
{
    std::string name;
    /// The syntax of the arguments, for the help text.
    std::string arguments;
    std::string summary;
    /// The allowed number of arguments.
    std::size_t minArguments;
    std::size_t maxArguments;
    /// The flags in addition to the common ones.
    std::vector<Option> options;
    ExitCode (*run)(ToolContext &context, const OptionValues &values);
};

/// All subcommands, in the order of the help text.
const std::vector<Subcommand> &subcommands();

/// The flags and environment variables (`BURDOCK_...`) of a subcommand, including the common ones.
OptionTable optionsOf(const Subcommand &subcommand);

/// The text of `burdockctl --help`, with the exit codes.
std::string toolHelp();

/// Parses a whole number from `min` to `max`; nothing if the text is not a number or out of range.
std::optional<std::uint64_t> numberInRange(const std::string &text, std::uint64_t min, std::uint64_t max);

/// The duration of a flag in whole milliseconds; 0 if its value is invalid.
Duration millisecondsOf(const OptionValues &values, const std::string &flag);

/// Reads the platform's instance list; Unavailable if it does not arrive within `limit`.
Result<InstanceList> readInstances(ToolContext &context, Duration limit);

/// A published configuration to send to instances.
struct ConfigPush
{
    ConfigHead head;
    /// The files that the previous version did not contain.
    std::vector<ConfigFile> files;
};

/// The result of a push.
struct PushReport
{
    /// The number of instances that the configuration was sent to.
    std::size_t contacted = 0;
    /// The number of those that reported this version, or a later one, as in force.
    std::size_t inForce = 0;
};

/// Sends an accepted configuration to a few instances of each data centre, so that it spreads even if the store fails
/// right after accepting it. Reports no errors: instances that it does not reach read the version from the store.
PushReport pushConfiguration(ToolContext &context, const ConfigPush &push, Duration limit);

ExitCode checkCommand(ToolContext &context, const OptionValues &values);
ExitCode collectCommand(ToolContext &context, const OptionValues &values);
ExitCode publishCommand(ToolContext &context, const OptionValues &values);
ExitCode diffCommand(ToolContext &context, const OptionValues &values);
ExitCode historyCommand(ToolContext &context, const OptionValues &values);
ExitCode showCommand(ToolContext &context, const OptionValues &values);
ExitCode statusCommand(ToolContext &context, const OptionValues &values);
ExitCode entriesCommand(ToolContext &context, const OptionValues &values);
ExitCode askCommand(ToolContext &context, const OptionValues &values);

} // namespace Burdock
