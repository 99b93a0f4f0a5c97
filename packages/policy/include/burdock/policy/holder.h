#pragma once

#include <burdock/policy/backendport.h>
#include <burdock/values/configuration.h>
#include <burdock/values/runtime.h>
#include <burdock/values/subrequest.h>

#include <functional>
#include <memory>
#include <optional>

namespace Burdock
{

/// What a holder has counted since the start, over all its servers.
struct HolderCounters
{
    /// Sub-requests given to servers, and those refused as NotRun without, by rank.
    PerRank<std::uint64_t> dispatched{};
    PerRank<std::uint64_t> refused{};
    /// Requests that servers refused for lack of a slot.
    std::uint64_t sheds = 0;
};

/// Holds backend servers on behalf of all entry instances: one rank queue and one slot limit per server.
///
/// A sub-request that cannot meet its budget is refused at once as NotRun. Queues, floors, fairness
/// and limits are those of docs/notes/ranks.md.
class Holder
{
public:
    using Callback = std::function<void(const SubReply &)>;
    using ReportHandler = std::function<void(const ServerReport &)>;

    Holder(Runtime &runtime, BackendPort &backend);
    ~Holder();

    /// Takes over a configuration's slots, connections, floors and shares. Queued work stays.
    void configure(const ConfigurationPtr &configuration);

    /// Says which of the servers are leaving by the instance list or a peer; they get no new work.
    void setDraining(const ServerId &server, bool draining);

    /// Queues a sub-request; `done` is called once, never from within `submit`, unless it is cancelled first.
    void submit(const SubRequest &request, Callback done);

    /// Gives up a queued or running sub-request.
    void cancel(const SubRequestId &id);

    /// Called when a server's report changes, at most a few times a second for each server.
    void onReport(ReportHandler handler);

    /// The reports of all servers that have had work.
    std::vector<ServerReport> reports() const;

    /// How many sub-requests wait or run.
    std::size_t inFlight() const;

    const HolderCounters &counters() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Burdock
