#include <burdock/routing/instancelease.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// A lease is renewed this many times within its term, so that one lost renewal does not end it.
constexpr int RenewalsPerTerm = 3;
/// The pause after a failed call.
constexpr Duration PauseAfterFailure = std::chrono::milliseconds(300);

} // namespace

const ChartTable<InstanceLease> &InstanceLease::table()
{
    static const ChartTable<InstanceLease> table(chartNamed("instancelease"),
                                                 {{"grant", &InstanceLease::grant},
                                                  {"write", &InstanceLease::write},
                                                  {"renew", &InstanceLease::renew},
                                                  {"renewLater", &InstanceLease::renewLater},
                                                  {"renewSoon", &InstanceLease::renewSoon},
                                                  {"pause", &InstanceLease::pause},
                                                  {"revoke", &InstanceLease::revoke}});
    return table;
}

InstanceLease::InstanceLease(Runtime &runtime, Store &store, std::string key, std::chrono::seconds term, ReachHandler reach)
    : runtime_(runtime)
    , store_(store)
    , key_(std::move(key))
    , term_(term)
    , reach_(std::move(reach))
    , life_(table(), *this)
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
    life_.handle("begin");
}

void InstanceLease::change(std::string value)
{
    if (value_ != value) {
        value_ = std::move(value);
        life_.handle("changed");
    }
}

void InstanceLease::withdraw()
{
    if (!life_.finished()) {
        life_.handle("withdraw");
    }
}

bool InstanceLease::held() const
{
    return !life_.finished() && runtime_.now() < heldUntil_;
}

void InstanceLease::wait(Duration span)
{
    runtime_.cancel(timer_);
    timer_ = runtime_.schedule(span, [this] {
        timer_ = 0;
        life_.handle("pauseOver");
    });
}

void InstanceLease::failed(const Failure &failure)
{
    if (!std::exchange(lost_, true)) {
        reach_(&failure);
    }
    life_.handle(failure.code == Errc::NotFound ? "gone" : "broken");
}

void InstanceLease::confirmed(TimePoint asked, const char *event)
{
    confirmedAt_ = asked;
    if (std::exchange(lost_, false)) {
        reach_(nullptr);
    }
    life_.handle(event);
}

void InstanceLease::grant()
{
    const std::uint64_t turn = ++turn_;
    grantedAt_ = runtime_.now();
    store_.grantLease(term_.count(), [this, turn, alive = alive_](Result<std::int64_t> lease) {
        if (!*alive || turn != turn_) {
            return;
        }
        if (!lease) {
            return failed(Failure{Errc::Unavailable, lease.error().verdict, lease.error().message, Duration{0}});
        }
        lease_ = *lease;
        life_.handle("granted");
    });
}

void InstanceLease::write()
{
    const std::uint64_t turn = ++turn_;
    const TimePoint asked = runtime_.now();
    StoreTransaction transaction;
    transaction.writes.push_back(StoreWrite{key_, value_, lease_});
    store_.commit(std::move(transaction), [this, turn, asked, alive = alive_](const Result<StoreCommit> &commit) {
        if (!*alive || turn != turn_) {
            return;
        }
        if (!commit) {
            return failed(commit.error());
        }
        heldUntil_ = std::max(heldUntil_, grantedAt_ + term_);
        confirmed(asked, "written");
    });
}

void InstanceLease::renew()
{
    const std::uint64_t turn = ++turn_;
    const TimePoint asked = runtime_.now();
    store_.keepLeaseAlive(lease_, [this, turn, asked, alive = alive_](const Result<std::int64_t> &kept) {
        if (!*alive || turn != turn_) {
            return;
        }
        if (!kept) {
            return failed(kept.error());
        }
        heldUntil_ = asked + term_;
        confirmed(asked, "renewed");
    });
}

void InstanceLease::renewLater()
{
    wait(Duration(term_) / RenewalsPerTerm);
}

void InstanceLease::renewSoon()
{
    wait(PauseAfterFailure);
}

void InstanceLease::pause()
{
    wait(PauseAfterFailure);
}

void InstanceLease::revoke()
{
    ++turn_;
    runtime_.cancel(std::exchange(timer_, 0));
    confirmedAt_ = {};
    heldUntil_ = {};
    if (lease_ != 0) {
        // A lost reply does no harm: the lease ends by itself.
        store_.revokeLease(lease_, [](const Result<std::int64_t> &) {});
    }
}

} // namespace Burdock
