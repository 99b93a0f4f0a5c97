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

/// Counters of a holder since its start, summed over all servers.
struct HolderCounters
{
    /// Sub-requests sent to servers, and those refused as NotRun without being sent, by rank.
    PerRank<std::uint64_t> dispatched{};
    PerRank<std::uint64_t> refused{};
    /// Requests that servers refused because all slots were busy.
    std::uint64_t sheds = 0;
};

/// Dispatches sub-requests to backend servers on behalf of all entry instances, with one rank queue and one slot
/// limit per server.
///
/// A sub-request that cannot finish within its budget is refused immediately as NotRun. Queues, floors, fairness and
/// limits are described in docs/notes/ranks.md.
class Holder
{
public:
    using Callback = std::function<void(const SubReply &)>;
    using ReportHandler = std::function<void(const ServerReport &)>;

    Holder(Runtime &runtime, BackendPort &backend);
    ~Holder();

    /// Applies the slots, connections, floors and shares of a configuration. Queued requests are kept.
    void configure(const ConfigurationPtr &configuration);

    /// Sets whether the instance list or a peer reports the server as draining. A draining server receives no new
    /// requests.
    void setDraining(const ServerId &server, bool draining);

    /// Queues a sub-request. `done` is called exactly once, never from within `submit`, unless the request is
    /// cancelled first.
    void submit(const SubRequest &request, Callback done);

    /// Cancels a queued or running sub-request.
    void cancel(const SubRequestId &id);

    /// Sets the handler called when a server's report changes, at most a few times per second for each server.
    void onReport(ReportHandler handler);

    /// Returns the reports of all servers that have received requests.
    std::vector<ServerReport> reports() const;

    /// Returns the number of queued and running sub-requests.
    std::size_t inFlight() const;

    const HolderCounters &counters() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Burdock
