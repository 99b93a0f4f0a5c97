#pragma once

#include <burdock/policy/commandrun.h>

#include <map>
#include <memory>

namespace Burdock
{

/// Validates callers' commands against the declarations and owns their runs.
class CommandCoordinator
{
public:
    using CurrentConfiguration = std::function<ConfigurationPtr()>;

    /// `seed` seeds the generator of claim nonces; it must be different in every process.
    CommandCoordinator(CommandContext context, CurrentConfiguration current, std::uint64_t seed);
    ~CommandCoordinator();
    CommandCoordinator(const CommandCoordinator &) = delete;
    CommandCoordinator &operator=(const CommandCoordinator &) = delete;

    /// Starts a command. `done` is called once, possibly before `submit` returns. A command that has started is not
    /// cancelled when its caller disconnects.
    void submit(const CommandRequest &request, CommandRun::Done done);

    /// The number of running commands, including those whose caller has its answer while the outcome is still pending.
    std::size_t running() const;

    /// The number of commands in each chart state, by state name.
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
