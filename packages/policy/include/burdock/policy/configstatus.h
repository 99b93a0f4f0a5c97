#pragma once

#include <burdock/values/runtime.h>

#include <cstdint>
#include <string>
#include <tuple>

namespace Burdock
{

/// Counters of a ConfigKeeper since it started.
struct ConfigCounters
{
    std::uint64_t installs = 0;
    /// Configurations that were received and ignored because their version was not above the one in force.
    std::uint64_t ignoredOlder = 0;
    /// Versions that cannot be used by this instance; each is counted once.
    std::uint64_t unusable = 0;
    std::uint64_t storeReads = 0;
    std::uint64_t storeFailures = 0;
    std::uint64_t watchStarts = 0;
    std::uint64_t fetches = 0;
    std::uint64_t fetchTimeouts = 0;
    std::uint64_t announcements = 0;
    std::uint64_t pauses = 0;
    std::uint64_t isolations = 0;

    auto fields() const
    {
        return std::tie(installs, ignoredOlder, unusable, storeReads, storeFailures, watchStarts, fetches, fetchTimeouts, announcements, pauses, isolations);
    }
};

/// The configuration state of an instance as shown to operators.
struct ConfigStatus
{
    /// A state of charts/configuration.scxml.
    std::string state;
    /// The version in force; 0 if there is none.
    std::uint64_t version = 0;
    WallTime inForceSince{};
    /// The highest version known from the store or a peer.
    std::uint64_t highestSeen = 0;
    /// The highest version that cannot be used by this instance, and the reason; 0 if there is none.
    std::uint64_t unusableVersion = 0;
    std::string unusableFault;
    bool watching = false;

    auto fields() const
    {
        return std::tie(state, version, inForceSince, highestSeen, unusableVersion, unusableFault, watching);
    }
};

} // namespace Burdock
