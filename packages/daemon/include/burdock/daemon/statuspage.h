#pragma once

#include <burdock/policy/member.h>
#include <burdock/values/configuration.h>
#include <burdock/values/place.h>
#include <burdock/values/runtime.h>

#include <string>
#include <vector>

namespace Burdock
{

/// One peer as this instance sees it.
struct MemberStatus
{
    InstanceId id;
    std::string state;
    std::uint64_t configurationVersion = 0;

    auto fields() const
    {
        return std::tie(id, state, configurationVersion);
    }
};

/// A member as the status page tells it: dead, suspect, leaving, ready or starting.
MemberStatus statusOf(const Member &member);

/// What `GET /v1/status` tells of one instance.
struct InstanceStatus
{
    ListedInstance self;
    std::uint64_t incarnation = 0;
    std::string life;
    /// The state of the configuration as JSON text, as ConfigDistributor gives it.
    std::string configuration;
    std::vector<MemberStatus> members;
    std::vector<ServerId> holds;
    std::size_t requestsInFlight = 0;

    auto fields() const
    {
        return std::tie(self, incarnation, life, configuration, members, holds, requestsInFlight);
    }
};

/// Writes the status as JSON.
std::string writeStatus(const InstanceStatus &status);

} // namespace Burdock
