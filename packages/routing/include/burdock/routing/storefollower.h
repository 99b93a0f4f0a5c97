#pragma once

#include <burdock/charts/chartrun.h>
#include <burdock/store/store.h>
#include <burdock/values/runtime.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Burdock
{

/// Follows all keys under a prefix: lists them once, then watches from that revision, and resumes after a failure from the last
/// known revision. Lists them again only if the store has compacted the history. The states are defined by the chart
/// `storefollower`.
class StoreFollower
{
public:
    struct Events
    {
        /// Called with all keys at one revision, which replace earlier ones.
        std::function<void(const std::vector<StoreEntry> &, std::int64_t revision)> onListed;
        /// Called with each change after the listing.
        std::function<void(const StoreEntry &)> onChanged;
        /// Called with the failure when the store becomes unreachable, and with null when it is reachable again.
        std::function<void(const Failure *)> onReachability;
        /// Called with the revision of a listing that is ignored, since it is below the known one, and with that one.
        std::function<void(std::int64_t revision, std::int64_t known)> onOlderListing = [](std::int64_t, std::int64_t) {};
    };

    StoreFollower(Runtime &runtime, Store &store, std::string prefix, Events events);
    ~StoreFollower();
    StoreFollower(const StoreFollower &) = delete;
    StoreFollower &operator=(const StoreFollower &) = delete;

    void start();

    /// Discards the current read or watch and lists all keys again.
    void restart();

    /// Returns the revision up to which the changes are known.
    std::int64_t revision() const
    {
        return revision_;
    }

    /// Whether all keys have been listed at least once.
    bool hasListing() const
    {
        return hasListing_;
    }

private:
    static const ChartTable<StoreFollower> &table();

    void readAll();
    void startWatch();
    void pause();
    void endWatch();
    void onRangeRead(Result<StoreRange> range);
    void takeListing(const StoreRange &range);
    void onWatchEnded(const Failure &failure);
    void onReachable();
    void onUnreachable(const Failure &failure);

    Runtime &runtime_;
    Store &store_;
    const std::string prefix_;
    const Events events_;
    /// Identifies the current read or watch; callbacks of earlier ones are ignored.
    std::uint64_t generation_ = 0;
    std::uint64_t watch_ = 0;
    std::int64_t revision_ = 0;
    TimerId timer_ = 0;
    Duration retryDelay_;
    bool hasListing_ = false;
    bool unreachable_ = false;
    ChartRun<StoreFollower> chartRun_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Burdock
