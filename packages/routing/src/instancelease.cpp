#include <burdock/routing/instancelease.h>

#include <burdock/store/storehistory.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// Renewals within one lease term; several, so that one lost renewal does not expire the lease.
constexpr int RenewalsPerTerm = 3;
/// The delay after a failed call. It doubles with each consecutive failure, up to a third of the interval of renewals, so that
/// instances whose records matter little call a store that is away less often.
constexpr Duration InitialRetryDelay = std::chrono::milliseconds(300);
constexpr int RetriesPerInterval = 3;

} // namespace

const ChartTable<InstanceLease> &InstanceLease::table()
{
    static const ChartTable<InstanceLease> table(chartNamed("instancelease"),
                                                 {{"grant", &InstanceLease::grant},
                                                  {"write", &InstanceLease::write},
                                                  {"renew", &InstanceLease::renew},
                                                  {"scheduleRenewal", &InstanceLease::scheduleRenewal},
                                                  {"scheduleRenewalRetry", &InstanceLease::pause},
                                                  {"pause", &InstanceLease::pause},
                                                  {"revoke", &InstanceLease::revoke}});
    return table;
}

InstanceLease::InstanceLease(Runtime &runtime, Store &store, std::string key, std::chrono::seconds term, ReachabilityHandler onReachability, Stamp stamp)
    : runtime_(runtime)
    , store_(store)
    , key_(std::move(key))
    , term_(term)
    , renewalInterval_(Duration(term) / RenewalsPerTerm)
    , retryDelay_(InitialRetryDelay)
    , onReachability_(std::move(onReachability))
    , stamp_(std::move(stamp))
    , chartRun_(table(), *this)
{
}

InstanceLease::~InstanceLease()
{
    *alive_ = false;
    runtime_.cancel(timer_);
}

void InstanceLease::start(std::string value)
{
    value_ = std::move(value);
    chartRun_.handle("begin");
}

void InstanceLease::setTerm(std::chrono::seconds term, Duration renewalInterval)
{
    renewalInterval_ = renewalInterval;
    if (std::exchange(term_, term) != term && !chartRun_.isFinished()) {
        chartRun_.handle("termChanged");
    }
}

void InstanceLease::change(std::string value)
{
    if (value_ != value) {
        value_ = std::move(value);
        chartRun_.handle("changed");
    }
}

void InstanceLease::onHistoryLost(std::int64_t history)
{
    if (!chartRun_.isFinished() && StoreHistory::historyOf(writtenAt_) < history) {
        chartRun_.handle("gone");
    }
}

void InstanceLease::withdraw()
{
    if (!chartRun_.isFinished()) {
        chartRun_.handle("withdraw");
    }
}

bool InstanceLease::held() const
{
    return !chartRun_.isFinished() && runtime_.now() < heldUntil_;
}

void InstanceLease::startTimer(Duration span)
{
    runtime_.cancel(timer_);
    timer_ = runtime_.schedule(span, [this] {
        timer_ = 0;
        chartRun_.handle("timerFired");
    });
}

void InstanceLease::onFailed(const Failure &failure)
{
    if (!std::exchange(unreachable_, true)) {
        onReachability_(&failure);
    }
    chartRun_.handle(failure.code == Errc::NotFound ? "gone" : "broken");
}

void InstanceLease::onConfirmed(TimePoint sentAt, const char *event)
{
    confirmedAt_ = sentAt;
    retryDelay_ = InitialRetryDelay;
    if (std::exchange(unreachable_, false)) {
        onReachability_(nullptr);
    }
    chartRun_.handle(event);
}

void InstanceLease::grant()
{
    const std::uint64_t generation = ++generation_;
    leaseRequestedAt_ = runtime_.now();
    leaseTerm_ = term_;
    store_.grantLease(leaseTerm_.count(), [this, generation, alive = alive_](Result<std::int64_t> lease) {
        if (!*alive || generation != generation_) {
            return;
        }
        if (!lease) {
            return onFailed(Failure{Errc::Unavailable, lease.error().verdict, lease.error().message, Duration{0}});
        }
        lease_ = *lease;
        chartRun_.handle("granted");
    });
}

void InstanceLease::write()
{
    const std::uint64_t generation = ++generation_;
    const TimePoint sentAt = runtime_.now();
    StoreTransaction transaction;
    transaction.writes.push_back(StoreWrite{key_, stamp_(value_, ++writes_), lease_});
    store_.commit(std::move(transaction), [this, generation, sentAt, alive = alive_](const Result<StoreCommit> &commit) {
        if (!*alive || generation != generation_) {
            return;
        }
        if (!commit) {
            return onFailed(commit.error());
        }
        writtenAt_ = commit->revision;
        heldUntil_ = std::max(heldUntil_, leaseRequestedAt_ + leaseTerm_);
        onConfirmed(sentAt, "written");
        if (leaseTerm_ != term_ && !chartRun_.isFinished()) {
            // The term changed while this lease was requested.
            chartRun_.handle("termChanged");
        }
    });
}

void InstanceLease::renew()
{
    const std::uint64_t generation = ++generation_;
    const TimePoint sentAt = runtime_.now();
    store_.keepLeaseAlive(lease_, [this, generation, sentAt, alive = alive_](const Result<std::int64_t> &renewal) {
        if (!*alive || generation != generation_) {
            return;
        }
        if (!renewal) {
            return onFailed(renewal.error());
        }
        heldUntil_ = sentAt + leaseTerm_;
        onConfirmed(sentAt, "renewed");
    });
}

void InstanceLease::scheduleRenewal()
{
    startTimer(renewalInterval_);
}

void InstanceLease::pause()
{
    startTimer(retryDelay_);
    retryDelay_ = std::max(InitialRetryDelay, std::min(2 * retryDelay_, renewalInterval_ / RetriesPerInterval));
}

void InstanceLease::revoke()
{
    ++generation_;
    runtime_.cancel(std::exchange(timer_, 0));
    confirmedAt_ = {};
    heldUntil_ = {};
    if (lease_ != 0) {
        // The reply is ignored: without a revocation the lease expires by itself.
        store_.revokeLease(lease_, [](const Result<std::int64_t> &) {});
    }
}

} // namespace Burdock
