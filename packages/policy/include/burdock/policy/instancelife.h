#pragma once

#include <burdock/charts/chartrun.h>
#include <burdock/values/failure.h>
#include <burdock/values/runtime.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Burdock
{

/// What the life of an instance sets going; carried out by the program.
class InstanceLifePort
{
public:
    virtual ~InstanceLifePort() = default;

    /// Finds out whether the configuration in force is current, and calls InstanceLife::onConfigConfirmed once it is.
    virtual void confirmConfiguration() = 0;

    /// Tells peers and `/readyz` whether this instance admits work.
    virtual void setReady(bool ready) = 0;

    /// Tells peers that this instance is leaving, so that it is no entry and no holder any more.
    virtual void announceLeaving() = 0;

    /// From now on every answer to callers carries `Connection: close`, and no new connection is accepted for long.
    virtual void closeConnectionsAfterAnswers() = 0;

    /// How many requests are not yet answered: callers' here, and sub-requests that other instances sent here.
    virtual std::size_t inFlight() const = 0;

    /// Stores what must outlive this process; calls `done` once.
    virtual void handOver(std::function<void()> done) = 0;

    /// Ends the process. `abandoned` is how many requests were given up, which is 0 for a clean end.
    virtual void exit(std::size_t abandoned) = 0;
};

/// The times of InstanceLife.
struct InstanceLifeSettings
{
    /// How long callers may keep an answer of `/v1/entries`.
    Duration entriesMaxAge = std::chrono::seconds(10);
    /// How long it takes until no other instance names this one any more.
    Duration leaveSpread = std::chrono::seconds(5);
    /// New work is refused for at least so long before the end, so that connections close by their answers.
    Duration minRefusalTime = std::chrono::seconds(1);
    /// Work in flight gets the longest declared wait and this much more.
    Duration graceMargin = std::chrono::seconds(5);
    /// How long the hand-over may take.
    Duration handOverTimeout = std::chrono::seconds(5);
    /// An instance that stood still for longer does not trust its configuration any more.
    Duration maxPause = std::chrono::seconds(2);
    /// How often the conditions are looked at.
    Duration checkInterval = std::chrono::milliseconds(100);
};

/// The life of this instance over the chart `instancelife`: not ready before its configuration is confirmed, and a
/// graceful shutdown that cuts no request.
class InstanceLife
{
public:
    /// Starts in `starting` and asks the port for confirmation on the next turn of the loop.
    InstanceLife(Runtime &runtime, InstanceLifePort &port, const InstanceLifeSettings &settings);
    ~InstanceLife();
    InstanceLife(const InstanceLife &) = delete;
    InstanceLife &operator=(const InstanceLife &) = delete;

    /// The configuration in force is confirmed to be current.
    void onConfigConfirmed();

    /// The configuration in force may be outdated: nothing is admitted before it is confirmed.
    void onConfigUnconfirmed();

    /// Begins the graceful shutdown, as on SIGTERM; a second call changes nothing.
    void terminate();

    /// The longest time that a request may take by the declarations in force.
    void setMaxRequestTime(Duration wait);

    /// Nothing where a new request may be admitted now; else the refusal, whose verdict is NotRun. To be asked for each
    /// request: it also notices that the process stood still.
    std::optional<Failure> refusal();

    /// The id of the chart's current state, for `/readyz` and the status page.
    const std::string &state() const;

    /// Called with the new state after each change.
    void onChange(std::function<void(const std::string &state)> handler);

    /// How often the process was found to have stood still.
    std::uint64_t pauses() const;

private:
    static const ChartTable<InstanceLife> &table();

    void handle(std::string_view event);
    void runPeriodicChecks();
    void detectPause();
    void checkProgress();

    void requestConfirmation();
    void becomeReady();
    void becomeUnready();
    void announceLeaving();
    void refuseNewWork();
    void abandonWork();
    void handOver();
    void exit();

    Runtime &runtime_;
    InstanceLifePort &port_;
    InstanceLifeSettings settings_;
    ChartRun<InstanceLife> run_;
    std::function<void(const std::string &)> changed_;
    Duration maxRequestTime_{0};
    TimePoint lastCheck_;
    /// When the current state began.
    TimePoint phaseStarted_;
    std::size_t abandoned_ = 0;
    std::uint64_t pauses_ = 0;
    TimerId timer_ = 0;
    /// Outlives the hand-over's callback.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Burdock
