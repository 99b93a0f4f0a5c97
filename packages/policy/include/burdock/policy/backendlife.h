#pragma once

#include <burdock/charts/chartrun.h>
#include <burdock/values/place.h>
#include <burdock/values/runtime.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>

namespace Burdock
{

/// The states of a backend server in `charts/backendserver.scxml`.
enum class BackendState {
    /// Receives requests.
    Active,
    /// Receives one trial request at a time.
    Suspected,
    /// Shutting down; receives no new requests.
    Draining,
    /// Not on the instance list; receives no new requests.
    Gone,
};

/// Returns the name of the state in the chart, in metrics and on the status page.
std::string_view backendStateName(BackendState state);

/// Hold times and timeouts of BackendLife.
struct BackendLifeSettings
{
    /// How long a draining reply or peer report stays in effect after the last one. Must exceed the lag of the
    /// instance list.
    Duration hold = std::chrono::seconds(60);
    /// Upper bound of the hold, which becomes twice as long each time the server answers a trial request by draining again.
    Duration maxHold = std::chrono::minutes(10);
    /// A trial request without a reply after this time allows another one.
    Duration trialTimeout = std::chrono::seconds(5);
    /// After a successful trial, the health endpoint is ignored for this long.
    Duration healthIgnoreTime = std::chrono::seconds(30);
};

/// Tracks the state of one backend server as seen by this instance, using the chart `backendserver`.
///
/// Three sources are trusted to report that a server is draining: the instance list, the replies of the server, and
/// peers. One source is enough to stop new requests, and no source can revoke the report of another. The list's
/// report lasts until a newer list revokes it, a peer's until that peer revokes it or the hold expires, and the
/// server's own until the hold expires. The health endpoint is not trusted: it only triggers a trial request, whose
/// reply decides.
class BackendLife
{
public:
    using ChangeHandler = std::function<void(BackendState)>;

    /// Creates the state of a newly listed server. `changed` is called after each change of the state.
    BackendLife(Runtime &runtime, const BackendLifeSettings &settings, const ListedServer &server, ChangeHandler changed);
    ~BackendLife();
    BackendLife(const BackendLife &) = delete;
    BackendLife &operator=(const BackendLife &) = delete;

    /// Applies a newer list that contains the server. A changed address means a new process, so earlier draining
    /// reports are discarded.
    void onListed(const ListedServer &server);

    /// Applies a newer list that does not contain the server.
    void onUnlisted();

    /// Records a reply to a request sent at `dispatched`; `draining` is true if the reply says that the server is
    /// shutting down.
    void onReply(bool draining, TimePoint dispatched);

    /// Records the latest report of a peer about the server.
    void onPeerReport(const InstanceId &peer, bool draining);

    /// Records the status of the health endpoint.
    void onHealthStatus(bool draining);

    /// Returns true if a request may be sent now.
    bool acceptsWork() const;

    /// Records that a request was sent. For a suspected server this is the trial request.
    void onDispatched();

    BackendState state() const;

    /// Returns the number of chart events that were refused in the state they arrived in.
    std::uint32_t refusedEvents() const;

private:
    static const ChartTable<BackendLife> &table();

    void startTrials();
    void updateState();
    bool hasDrainingSignal() const;
    void removeExpiredSignals();
    void scheduleExpiry();
    void removeOldestPeerReport();

    Runtime &runtime_;
    BackendLifeSettings settings_;
    ChangeHandler changed_;
    ChartRun<BackendLife> run_;
    BackendState reportedState_ = BackendState::Active;
    Address address_;
    bool listedLeaving_ = false;
    /// Expiry times of the draining reports by the server itself and by each peer.
    std::optional<TimePoint> ownDrainingUntil_;
    std::map<InstanceId, TimePoint> peerDrainingUntil_;
    Duration nextHold_;
    TimePoint suspectedSince_{};
    std::optional<TimePoint> trialStarted_;
    TimePoint healthIgnoredUntil_{};
    TimerId expiry_ = 0;
};

} // namespace Burdock
