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

/// Follows all keys under a prefix: reads them once, then watches from that revision, and goes on after every failure from
/// where it was. Reads them anew only where the store no longer has the history. Its life is the chart `storefollower`.
class StoreFollower
{
public:
    struct Events
    {
        /// All keys at one moment; replaces what was known.
        std::function<void(const std::vector<StoreEntry> &, std::int64_t revision)> listed;
        /// One change after that.
        std::function<void(const StoreEntry &)> changed;
        /// The store was lost, with the failure, or reached again, with null.
        std::function<void(const Failure *)> onReachability;
    };

    StoreFollower(Runtime &runtime, Store &store, std::string prefix, Events events);
    ~StoreFollower();
    StoreFollower(const StoreFollower &) = delete;
    StoreFollower &operator=(const StoreFollower &) = delete;

    void start();

    /// Trusts nothing that it knew: reads all keys again.
    void restart();

    /// Whether all keys were read at least once.
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
    void onWatchEnded(const Failure &failure);
    void onReachable();
    void onUnreachable(const Failure &failure);

    Runtime &runtime_;
    Store &store_;
    const std::string prefix_;
    const Events events_;
    /// Tells callbacks of earlier reads and watches apart from those that count.
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
