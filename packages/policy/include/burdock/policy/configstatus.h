#pragma once

#include <burdock/values/runtime.h>

#include <cstdint>
#include <string>
#include <tuple>

namespace Burdock
{

/// What a ConfigKeeper has counted since it started.
struct ConfigCounters
{
    std::uint64_t installs = 0;
    /// Configurations of an older or the same version that came and were left.
    std::uint64_t ignoredOlder = 0;
    /// Versions that cannot be used here, each counted once.
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

/// What operators are told of an instance's configuration.
struct ConfigStatus
{
    /// A state of charts/configuration.scxml.
    std::string state;
    /// The version in force; 0 for none.
    std::uint64_t version = 0;
    WallTime inForceSince{};
    /// The highest version that was heard of.
    std::uint64_t highestSeen = 0;
    /// The highest version that cannot be used here, and why; 0 for none.
    std::uint64_t unusableVersion = 0;
    std::string unusableFault;
    bool watching = false;

    auto fields() const
    {
        return std::tie(state, version, inForceSince, highestSeen, unusableVersion, unusableFault, watching);
    }
};

} // namespace Burdock
