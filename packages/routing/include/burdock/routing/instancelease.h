#pragma once

#include <burdock/charts/chartrun.h>
#include <burdock/store/store.h>
#include <burdock/values/runtime.h>

#include <functional>
#include <memory>
#include <string>

namespace Burdock
{

/// Keeps one key in the store under a lease for as long as the process lives and reaches the store.
/// Its life is the chart `instancelease`.
class InstanceLease
{
public:
    /// `reach`: the store was lost, with the failure, or reached again, with null.
    using ReachabilityHandler = std::function<void(const Failure *)>;

    InstanceLease(Runtime &runtime, Store &store, std::string key, std::chrono::seconds term, ReachabilityHandler onReachability);
    ~InstanceLease();
    InstanceLease(const InstanceLease &) = delete;
    InstanceLease &operator=(const InstanceLease &) = delete;

    void start(std::string value);

    /// Writes another value under the key.
    void change(std::string value);

    /// Removes the key for good.
    void withdraw();

    /// Whether the store has confirmed the key within the lease's term.
    bool held() const;

    /// When the request was sent that the store last confirmed.
    TimePoint confirmedAt() const
    {
        return confirmedAt_;
    }

private:
    static const ChartTable<InstanceLease> &table();

    void grant();
    void write();
    void renew();
    void scheduleRenewal();
    void scheduleRenewalRetry();
    void pause();
    void revoke();
    void startTimer(Duration span);
    void onFailed(const Failure &failure);
    void onConfirmed(TimePoint sentAt, const char *event);

    Runtime &runtime_;
    Store &store_;
    const std::string key_;
    const std::chrono::seconds term_;
    const ReachabilityHandler onReachability_;
    std::string value_;
    std::int64_t lease_ = 0;
    std::uint64_t generation_ = 0;
    TimerId timer_ = 0;
    /// When the lease that is held was asked for.
    TimePoint leaseRequestedAt_{};
    TimePoint heldUntil_{};
    TimePoint confirmedAt_{};
    bool unreachable_ = false;
    ChartRun<InstanceLease> chartRun_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Burdock
