#pragma once

#include <burdock/policy/claimports.h>
#include <burdock/values/configuration.h>
#include <burdock/values/runtime.h>

#include <functional>
#include <map>
#include <memory>

namespace Burdock
{

/// Forgets claims that are older than the declared window by raising the floors of their commands.
///
/// Every claim transaction names the floor that it knows, so no claim below a raised floor can be written any more,
/// however long its claimant was frozen. Several sweepers at once, or one with a wrong clock, do no harm to that.
class ClaimSweeper
{
public:
    using CurrentConfiguration = std::function<ConfigurationPtr()>;
    /// True where this instance is the one to sweep a command's claims.
    using IsResponsible = std::function<bool(const CommandName &command)>;

    ClaimSweeper(Runtime &runtime, ClaimStorePort &store, CurrentConfiguration current, IsResponsible isResponsible);
    ~ClaimSweeper();
    ClaimSweeper(const ClaimSweeper &) = delete;
    ClaimSweeper &operator=(const ClaimSweeper &) = delete;

    /// Sweeps now and then once for every bucket.
    void start();

    /// How often a floor was raised by this instance, and how often raising failed.
    std::uint64_t raised() const;
    std::uint64_t failed() const;

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

/// The first bucket that must still be remembered now, for a window of that length.
std::uint64_t firstRememberedBucket(WallTime now, Duration window);

} // namespace Burdock
