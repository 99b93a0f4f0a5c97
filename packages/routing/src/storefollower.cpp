#include <burdock/routing/storefollower.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// The pause after a failure: doubled with each failure in a row, up to the longest. Short, since what the store tells is owed
/// within seconds, and long enough that an outage costs few calls.
constexpr Duration FirstPause = std::chrono::milliseconds(100);
constexpr Duration LongestPause = std::chrono::milliseconds(1600);

} // namespace

const ChartTable<StoreFollower> &StoreFollower::table()
{
    static const ChartTable<StoreFollower> table(
        chartNamed("storefollower"), {{"readAll", &StoreFollower::readAll}, {"watchOn", &StoreFollower::watchOn}, {"pause", &StoreFollower::pause}});
    return table;
}

StoreFollower::StoreFollower(Runtime &runtime, Store &store, std::string prefix, Events events)
    : runtime_(runtime)
    , store_(store)
    , prefix_(std::move(prefix))
    , events_(std::move(events))
    , pause_(FirstPause)
    , life_(table(), *this)
{
}

StoreFollower::~StoreFollower()
{
    *alive_ = false;
    runtime_.cancel(timer_);
    endWatch();
}

void StoreFollower::start()
{
    life_.handle("list");
}

void StoreFollower::restart()
{
    life_.handle("list");
}

void StoreFollower::endWatch()
{
    if (watch_ != 0) {
        store_.unwatch(std::exchange(watch_, 0));
    }
}

void StoreFollower::readAll()
{
    runtime_.cancel(std::exchange(timer_, 0));
    endWatch();
    const std::uint64_t turn = ++turn_;
    store_.range(prefix_, true, 0, [this, turn, alive = alive_](Result<StoreRange> range) {
        if (*alive && turn == turn_) {
            took(std::move(range));
        }
    });
}

void StoreFollower::took(Result<StoreRange> range)
{
    if (!range) {
        lost(range.error());
        life_.handle("broken");
        return;
    }
    reached();
    if (range->revision >= revision_) {
        revision_ = range->revision;
        known_ = true;
        events_.listed(range->entries, range->revision);
    }
    life_.handle("listed");
}

void StoreFollower::watchOn()
{
    const std::uint64_t turn = ++turn_;
    const auto changed = [this, turn, alive = alive_](const StoreEntry &entry) {
        if (*alive && turn == turn_) {
            reached();
            if (entry.modRevision > revision_) {
                revision_ = entry.modRevision;
                events_.changed(entry);
            }
        }
    };
    const auto ended = [this, turn, alive = alive_](const Failure &failure) {
        if (*alive && turn == turn_) {
            watch_ = 0;
            this->ended(failure);
        }
    };
    watch_ = store_.watch(prefix_, true, revision_, changed, ended);
}

void StoreFollower::ended(const Failure &failure)
{
    if (failure.code == Errc::WrongVersion) {
        life_.handle("compacted");
        return;
    }
    lost(failure);
    life_.handle("broken");
}

void StoreFollower::pause()
{
    ++turn_;
    endWatch();
    timer_ = runtime_.schedule(pause_, [this] {
        timer_ = 0;
        life_.handle("pauseOver");
    });
    pause_ = std::min(2 * pause_, LongestPause);
}

void StoreFollower::reached()
{
    pause_ = FirstPause;
    if (std::exchange(lost_, false)) {
        events_.reach(nullptr);
    }
}

void StoreFollower::lost(const Failure &failure)
{
    if (!std::exchange(lost_, true)) {
        events_.reach(&failure);
    }
}

} // namespace Burdock
