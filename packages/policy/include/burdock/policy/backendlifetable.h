#pragma once

#include <burdock/policy/backendlife.h>
#include <burdock/values/place.h>
#include <burdock/values/subrequest.h>

#include <functional>
#include <memory>
#include <unordered_map>

namespace Burdock
{

/// The states of all backend servers on the instance list, including those recently removed from it.
class BackendLifeTable
{
public:
    using ChangeHandler = std::function<void(const ServerId &, BackendState)>;

    /// `changed` is called after each change of a server's state, and for a new server that is listed as leaving.
    BackendLifeTable(Runtime &runtime, const BackendLifeSettings &settings, ChangeHandler changed);

    /// Applies a list, unless it is not newer than the last one.
    void onInstanceList(const InstanceList &list);

    /// Records that a request was sent to the server.
    void onDispatched(const ServerId &server);

    /// Records a reply to a request that was sent at `dispatched`.
    void onReply(const ServerId &server, bool draining, TimePoint dispatched);

    /// Records a holder's report, whether it came with a reply or separately.
    void onPeerReport(const InstanceId &peer, const ServerReport &report);

    /// Records the status of the health endpoint, which is only a hint.
    void onHealthStatus(const ServerId &server, bool draining);

    /// Returns true if a request may be sent to the server now; false for an unknown server.
    bool acceptsWork(const ServerId &server) const;

    /// Returns the state of the server; Gone for an unknown server.
    BackendState state(const ServerId &server) const;

    /// Returns the number of servers in a state. Gone counts removed servers until they are forgotten.
    std::size_t count(BackendState state) const;

    /// Returns the number of signals received about unknown servers.
    std::uint64_t unknownSignals() const;

private:
    struct Entry
    {
        std::unique_ptr<BackendLife> life;
        std::uint64_t listedVersion = 0;
        TimePoint lastListed{};
    };

    BackendLife *find(const ServerId &server);
    const BackendLife *find(const ServerId &server) const;
    void updateServer(const ListedServer &server);

    Runtime &runtime_;
    BackendLifeSettings settings_;
    ChangeHandler changed_;
    std::uint64_t version_ = 0;
    std::unordered_map<ServerId, Entry> servers_;
    std::uint64_t unknownSignals_ = 0;
};

} // namespace Burdock
