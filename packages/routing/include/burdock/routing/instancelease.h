#pragma once

#include <burdock/charts/chartrun.h>
#include <burdock/store/store.h>
#include <burdock/values/runtime.h>

#include <functional>
#include <memory>
#include <string>

namespace Burdock
{

/// Keeps one key in the store under a lease while the process runs and can reach the store.
/// The states are defined by the chart `instancelease`.
class InstanceLease
{
public:
    /// Called with the failure when the store becomes unreachable, and with null when it is reachable again.
    using ReachabilityHandler = std::function<void(const Failure *)>;

    /// Returns what the given write of the key stores for a value.
    using Stamp = std::function<std::string(const std::string &value, std::int64_t write)>;

    InstanceLease(
        Runtime &runtime,
        Store &store,
        std::string key,
        std::chrono::seconds term,
        ReachabilityHandler onReachability,
        Stamp stamp = [](const std::string &value, std::int64_t) { return value; });
    ~InstanceLease();
    InstanceLease(const InstanceLease &) = delete;
    InstanceLease &operator=(const InstanceLease &) = delete;

    void start(std::string value);

    /// Changes the term of the lease and the interval of its renewals. A lease that is held is replaced by one of the new term,
    /// since the store cannot change it.
    void setTerm(std::chrono::seconds term, Duration renewalInterval);

    /// Replaces the value of the key.
    void change(std::string value);

    /// The store was restored from a copy and has a new history. Unless the key was written in it already, requests a new lease and
    /// writes the key, since the copy may have neither.
    void onHistoryLost(std::int64_t history);

    /// Revokes the lease, which removes the key; the object cannot be restarted.
    void withdraw();

    /// Whether the lease, as last confirmed by the store, has not expired.
    bool held() const;

    /// When the last request that the store confirmed was sent.
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
    void pause();
    void revoke();
    void startTimer(Duration span);
    void onFailed(const Failure &failure);
    void onConfirmed(TimePoint sentAt, const char *event);

    Runtime &runtime_;
    Store &store_;
    const std::string key_;
    std::chrono::seconds term_;
    Duration renewalInterval_;
    /// The delay after the next failed call; grows with consecutive failures.
    Duration retryDelay_;
    const ReachabilityHandler onReachability_;
    const Stamp stamp_;
    std::int64_t writes_ = 0;
    /// The revision of the last confirmed write.
    std::int64_t writtenAt_ = 0;
    std::string value_;
    std::int64_t lease_ = 0;
    std::chrono::seconds leaseTerm_{0};
    std::uint64_t generation_ = 0;
    TimerId timer_ = 0;
    /// When the current lease was requested.
    TimePoint leaseRequestedAt_{};
    TimePoint heldUntil_{};
    TimePoint confirmedAt_{};
    bool unreachable_ = false;
    ChartRun<InstanceLease> chartRun_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Burdock
