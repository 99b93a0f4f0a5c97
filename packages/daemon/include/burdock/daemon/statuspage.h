#pragma once

#include <burdock/policy/member.h>
#include <burdock/values/configuration.h>
#include <burdock/values/place.h>
#include <burdock/values/runtime.h>

#include <string>
#include <vector>

namespace Burdock
{

/// The state of one peer as this instance sees it.
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

/// Converts a member to its status. The state is `dead`, `suspect`, `leaving`, `ready` or `starting`.
MemberStatus statusOf(const Member &member);

/// The content of `GET /v1/status`.
struct InstanceStatus
{
    ListedInstance self;
    std::uint64_t incarnation = 0;
    std::string life;
    /// The state of the configuration as JSON text, from ConfigDistributor::statusJson().
    std::string configuration;
    std::vector<MemberStatus> members;
    std::vector<ServerId> holds;
    std::size_t requestsInFlight = 0;

    auto fields() const
    {
        return std::tie(self, incarnation, life, configuration, members, holds, requestsInFlight);
    }
};

/// Encodes the status as JSON text.
std::string writeStatus(const InstanceStatus &status);

} // namespace Burdock
