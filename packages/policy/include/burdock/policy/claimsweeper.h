#pragma once

#include <burdock/policy/claimports.h>
#include <burdock/values/configuration.h>
#include <burdock/values/runtime.h>

#include <functional>
#include <map>
#include <memory>

namespace Burdock
{

/// Deletes claims that are older than the declared window by raising the floors of their commands.
///
/// Every claim transaction includes the floor that its owner knows, so no claim below a raised floor can be written any
/// more, however long its claimant was frozen. Concurrent sweepers and sweepers with a wrong clock do not weaken this
/// guarantee.
class ClaimSweeper
{
public:
    using CurrentConfiguration = std::function<ConfigurationPtr()>;
    /// Returns whether this instance sweeps the claims of a command.
    using IsResponsible = std::function<bool(const CommandName &command)>;

    ClaimSweeper(Runtime &runtime, ClaimStorePort &store, CurrentConfiguration current, IsResponsible isResponsible);
    ~ClaimSweeper();
    ClaimSweeper(const ClaimSweeper &) = delete;
    ClaimSweeper &operator=(const ClaimSweeper &) = delete;

    /// Sweeps immediately and then once per ClaimBucketWidth.
    void start();

    /// The number of times that this instance raised a floor, and the number of failed attempts.
    std::uint64_t raisedCount() const;
    std::uint64_t failedCount() const;

private:
    void sweep();
    void sweepCommand(const CommandDeclaration &command);

    Runtime &runtime_;
    ClaimStorePort &store_;
    CurrentConfiguration current_;
    IsResponsible isResponsible_;
    std::map<CommandName, ClaimFloor> floors_;
    std::uint64_t raised_ = 0;
    std::uint64_t failed_ = 0;
    TimerId timer_ = 0;
    std::shared_ptr<bool> alive_;
};

/// Returns the oldest bucket that must still be kept at `now` for a claim window of the given length.
std::uint64_t firstRememberedBucket(WallTime now, Duration window);

} // namespace Burdock
