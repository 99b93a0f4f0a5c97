#include <burdock/policy/claimsweeper.h>

#include <algorithm>

namespace Burdock
{

namespace
{

/// The maximum number of buckets deleted in one transaction, so that a sweep after a long interruption does not stall the
/// store.
constexpr std::uint64_t MaxBucketsPerSweep = 10;

} // namespace

std::uint64_t firstRememberedBucket(WallTime now, Duration window)
{
    // The clock of the entry instance may be slow by ClockSkewBound while the clock of this instance is fast by the same
    // amount.
    return claimBucketOf(now - window - 2 * ClockSkewBound);
}

ClaimSweeper::ClaimSweeper(Runtime &runtime, ClaimStorePort &store, CurrentConfiguration current, IsResponsible isResponsible)
    : runtime_(runtime)
    , store_(store)
    , current_(std::move(current))
    , isResponsible_(std::move(isResponsible))
    , alive_(std::make_shared<bool>(true))
{
}

ClaimSweeper::~ClaimSweeper()
{
    *alive_ = false;
    runtime_.cancel(timer_);
}

std::uint64_t ClaimSweeper::raisedCount() const
{
    return raised_;
}

std::uint64_t ClaimSweeper::failedCount() const
{
    return failed_;
}

void ClaimSweeper::start()
{
    sweep();
    timer_ = runtime_.schedule(ClaimBucketWidth, [this] { start(); });
}

void ClaimSweeper::sweep()
{
    const ConfigurationPtr configuration = current_();
    if (!configuration) {
        return;
    }
    for (const auto &command : configuration->commands) {
        if (command.second.unrepeatable && isResponsible_(command.first)) {
            sweepCommand(command.second);
        }
    }
}

void ClaimSweeper::sweepCommand(const CommandDeclaration &command)
{
    const ClaimFloor found = floors_.emplace(command.name, ClaimFloor{command.name, 0, 0}).first->second;
    const std::uint64_t wanted = firstRememberedBucket(runtime_.wallNow(), command.claimWindow);
    const std::uint64_t next = found.bucket == 0 ? wanted : std::min(wanted, found.bucket + MaxBucketsPerSweep);
    if (next <= found.bucket) {
        return;
    }
    store_.raiseFloor(found, next, [this, alive = alive_, name = command.name](const Result<ClaimFloor> &floor) {
        if (!*alive) {
            return;
        }
        if (!floor) {
            ++failed_;
            return;
        }
        ++raised_;
        floors_[name] = *floor;
    });
}

} // namespace Burdock
