#include <burdock/routing/storefollower.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// The retry delay after a failure: doubles with each consecutive failure, up to the maximum. Short, since changes must arrive
/// within seconds, and long enough that an outage causes few calls.
constexpr Duration InitialRetryDelay = std::chrono::milliseconds(100);
constexpr Duration MaxRetryDelay = std::chrono::milliseconds(1600);

} // namespace

const ChartTable<StoreFollower> &StoreFollower::table()
{
    static const ChartTable<StoreFollower> table(
        chartNamed("storefollower"), {{"readAll", &StoreFollower::readAll}, {"startWatch", &StoreFollower::startWatch}, {"pause", &StoreFollower::pause}});
    return table;
}

StoreFollower::StoreFollower(Runtime &runtime, Store &store, std::string prefix, Events events)
    : runtime_(runtime)
    , store_(store)
    , prefix_(std::move(prefix))
    , events_(std::move(events))
    , retryDelay_(InitialRetryDelay)
    , chartRun_(table(), *this)
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
    chartRun_.handle("list");
}

void StoreFollower::restart()
{
    chartRun_.handle("list");
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
    const std::uint64_t generation = ++generation_;
    store_.range(prefix_, true, 0, [this, generation, alive = alive_](Result<StoreRange> range) {
        if (*alive && generation == generation_) {
            onRangeRead(std::move(range));
        }
    });
}

void StoreFollower::onRangeRead(Result<StoreRange> range)
{
    if (!range) {
        onUnreachable(range.error());
        chartRun_.handle("broken");
        return;
    }
    const Duration retryDelay = retryDelay_;
    onReachable();
    const bool taken = runtime_.boundary().run("store listing", [this, &range] { takeListing(*range); });
    if (!taken) {
        // The next listing may fail in the same way.
        retryDelay_ = retryDelay;
    }
    chartRun_.handle(taken ? "listed" : "broken");
}

void StoreFollower::takeListing(const StoreRange &range)
{
    if (range.revision < revision_) {
        events_.onOlderListing(range.revision, revision_);
        return;
    }
    revision_ = range.revision;
    hasListing_ = true;
    events_.onListed(range.entries, range.revision);
}

void StoreFollower::startWatch()
{
    const std::uint64_t generation = ++generation_;
    const auto changed = [this, generation, from = revision_, alive = alive_](const StoreEntry &entry) {
        if (*alive && generation == generation_) {
            onReachable();
            // One change of the store may affect several keys, which then have the same revision.
            if (entry.modRevision > from && entry.modRevision >= revision_) {
                revision_ = entry.modRevision;
                events_.onChanged(entry);
            }
        }
    };
    const auto ended = [this, generation, alive = alive_](const Failure &failure) {
        if (*alive && generation == generation_) {
            watch_ = 0;
            this->onWatchEnded(failure);
        }
    };
    watch_ = store_.watch(prefix_, true, revision_, changed, ended);
    if (watch_ != 0) {
        store_.setAnswerHandler(watch_, [this, generation, alive = alive_](TimePoint) {
            if (*alive && generation == generation_) {
                onReachable();
            }
        });
    }
}

void StoreFollower::onWatchEnded(const Failure &failure)
{
    if (failure.code == Errc::WrongVersion) {
        chartRun_.handle("compacted");
        return;
    }
    onUnreachable(failure);
    chartRun_.handle("broken");
}

void StoreFollower::pause()
{
    ++generation_;
    endWatch();
    timer_ = runtime_.schedule(retryDelay_, [this] {
        timer_ = 0;
        chartRun_.handle("timerFired");
    });
    retryDelay_ = std::min(2 * retryDelay_, MaxRetryDelay);
}

void StoreFollower::onReachable()
{
    retryDelay_ = InitialRetryDelay;
    if (std::exchange(unreachable_, false)) {
        events_.onReachability(nullptr);
    }
}

void StoreFollower::onUnreachable(const Failure &failure)
{
    if (!std::exchange(unreachable_, true)) {
        events_.onReachability(&failure);
    }
}

} // namespace Burdock
