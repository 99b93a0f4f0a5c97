#pragma once

#include <burdock/values/runtime.h>

#include <tuple>

namespace Burdock
{

/// An instance that stops serves requests for about this time after its record is gone.
constexpr Duration StoppingTime = std::chrono::seconds(3);

/// What the other instances need an instance for.
enum class InstanceRole {
    /// Clients are not directed to it, and no instance uses it as a relay.
    Standby,
    /// Clients are directed to it, or would be if all instances were ready, or others use it as their relay.
    Active,
};

/// How an instance keeps its record in the store.
struct RecordTerms
{
    /// How long the record outlives the instance.
    std::chrono::seconds term{0};
    Duration renewalInterval{0};

    auto fields() const
    {
        return std::tie(term, renewalInterval);
    }
};

/// Returns the terms for a role.
///
/// Load: hundreds of instances of which a few dozen serve clients. Each renewal is a call to the store, so only instances whose
/// failure must be noticed within seconds renew every second.
RecordTerms recordTerms(InstanceRole role);

/// Decides the role.
///
/// `directed` is whether clients are or would be directed to the instance, and `relay` whether others use it as their relay.
/// When the whole system starts, each instance sees few others at first; until `settled` its size says nothing, and an instance
/// stays active once it was, since a change of the lease costs more than it saves.
InstanceRole instanceRole(InstanceRole current, bool directed, bool relay, bool settled);

} // namespace Burdock
