#pragma once

#include <burdock/policy/backendlife.h>
#include <burdock/values/place.h>
#include <burdock/values/subrequest.h>

#include <functional>
#include <memory>
#include <unordered_map>

namespace Burdock
{

/// The lives of all backend servers that the instance list has named lately.
class BackendLifeTable
{
public:
    using ChangeHandler = std::function<void(const ServerId &, BackendState)>;

    /// `changed` is called after each change of a server's state, also when a listed server is leaving from the start.
    BackendLifeTable(Runtime &runtime, const BackendLifeSettings &settings, ChangeHandler changed);

    /// Takes over a list; a list that is not newer than the last one is ignored.
    void onInstanceList(const InstanceList &list);

    /// A request to the server was sent.
    void onDispatched(const ServerId &server);

    /// The server answered a request that was dispatched at that moment.
    void onReply(const ServerId &server, bool draining, TimePoint dispatched);

    /// A holder's report arrived, with a reply or by itself.
    void onPeerReport(const InstanceId &peer, const ServerReport &report);

    /// The health endpoint's word, which is a hint only.
    void onHealthStatus(const ServerId &server, bool draining);

    /// True where the server may get a request now; false for a server that was never listed.
    bool acceptsWork(const ServerId &server) const;

    /// The state; Gone for a server that was never listed.
    BackendState state(const ServerId &server) const;

    /// How many servers are in a state; Gone counts those that are remembered.
    std::size_t count(BackendState state) const;

    /// Signals about servers that are not known here.
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
