#pragma once

#include <burdock/policy/commandrun.h>

#include <map>
#include <memory>

namespace Burdock
{

/// Takes callers' commands: checks them against the declarations and keeps their runs.
class CommandCoordinator
{
public:
    using CurrentConfiguration = std::function<ConfigurationPtr()>;

    /// `seed` makes the nonces of claims; it must differ between any two processes.
    CommandCoordinator(CommandContext context, CurrentConfiguration current, std::uint64_t seed);
    ~CommandCoordinator();
    CommandCoordinator(const CommandCoordinator &) = delete;
    CommandCoordinator &operator=(const CommandCoordinator &) = delete;

    /// Starts a command. `done` is called once, possibly from within; a caller that goes away stops nothing.
    void submit(const CommandRequest &request, CommandRun::Done done);

    /// How many commands run, those whose caller has its answer but whose outcome is still awaited included.
    std::size_t running() const;

    /// How many commands are in each state of the chart.
    std::map<std::string, std::size_t> states() const;

private:
    Result<CallerRule> check(const CommandRequest &request, const Configuration *configuration) const;
    std::optional<Failure> checkKey(const CommandRequest &request, const CommandDeclaration &command) const;

    CommandContext context_;
    CurrentConfiguration current_;
    std::mt19937_64 random_;
    std::uint64_t last_ = 0;
    std::map<std::uint64_t, std::unique_ptr<CommandRun>> runs_;
    std::shared_ptr<bool> alive_;
};

} // namespace Burdock
