#pragma once

#include <burdock/routing/routingconfig.h>
#include <burdock/values/names.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Burdock
{

/// What an instance that passes a request on to a peer states about it. The peer serves the request itself or refuses it, but never
/// passes it on again.
struct PassOnTerms
{
    InstanceId from;
    /// The newest version of the configuration that the instance knows of. A peer with an older one refuses the request.
    std::int64_t configVersion = 0;
    /// The maximum number of servers, per shard, to which the peer may send the request.
    std::uint32_t attempts = 1;
    /// Whether the request has been counted in a repeat budget before.
    bool counted = false;
    /// How long the client has waited.
    Duration clientAge{0};
    /// The service of a weighted split that was chosen for the request; empty if none was.
    ServiceName service;
    /// The name of the client's workspace, whose rate has been charged; empty if the request needs none. An earlier build states none.
    std::string workspace{};
    /// The version of the configuration by which the workspace was found.
    std::int64_t workspaceConfig = 0;

    auto fields() const
    {
        return std::tie(from, configVersion, attempts, counted, clientAge, service, workspace, workspaceConfig);
    }
};

} // namespace Burdock
