#pragma once

#include <burdock/ctl/toolcontext.h>
#include <burdock/declarations/confighead.h>
#include <burdock/values/configmessages.h>

#include <string>
#include <vector>

namespace Burdock
{

/// One subcommand of burdockctl.
struct Subcommand
{
    std::string name;
    /// What follows the name on the command line.
    std::string arguments;
    std::string summary;
    /// How many arguments it takes.
    std::size_t minArguments;
    std::size_t maxArguments;
    /// Its own flags, beside the common ones.
    std::vector<Option> options;
    ExitCode (*run)(ToolContext &context, const OptionValues &values);
};

/// All subcommands.
const std::vector<Subcommand> &subcommands();

/// The flags and variables (`BURDOCK_...`) of a subcommand, the common ones included.
OptionTable optionsOf(const Subcommand &subcommand);

/// The text of `burdockctl --help`, with the exit codes.
std::string toolHelp();

/// A count from a flag; nothing where it is none or out of bounds.
std::optional<std::uint64_t> numberInRange(const std::string &text, std::uint64_t min, std::uint64_t max);

/// A flag in whole milliseconds.
Duration millisecondsOf(const OptionValues &values, const std::string &flag);

/// The platform's instance list.
Result<InstanceList> readInstances(ToolContext &context, Duration limit);

/// What to hand to instances after a publish.
struct ConfigPush
{
    ConfigHead head;
    /// The files that the version before did not have.
    std::vector<ConfigFile> files;
};

/// How far a push came.
struct PushReport
{
    std::size_t contacted = 0;
    /// How many of those contacted said that they have the version in force.
    std::size_t inForce = 0;
};

/// Hands an accepted configuration to a few instances of each data centre, so that it spreads even if the store
/// goes out right after it accepted. Never fails: what it misses, the instances learn from the store.
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
