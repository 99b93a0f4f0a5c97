#pragma once

#include "crowdbounds.h"
#include "testbed.h"

#include <catch2/catch.hpp>
#include <cstdlib>

namespace Burdock
{

/// One burdockd with the memory that it assumes by default, against the fakes of a deployment.
class CrowdedDaemon
{
public:
    CrowdedDaemon()
        : testbed_("pereyra-hermanos", {"litoral"})
    {
        testbed_.startInstance(Instance, "litoral");
        REQUIRE(testbed_.publish() == 0);
        REQUIRE(testbed_.waitUntilReady());
    }

    Address callers() const
    {
        return testbed_.callersAddress(Instance);
    }
    Address peers() const
    {
        return testbed_.peersAddress(Instance);
    }
    Crowd &crowd()
    {
        return crowd_;
    }

    /// Lets the crowd act and checks the process meanwhile and afterwards, while the crowd's connections are still open.
    void check(const Address &address)
    {
        constexpr std::size_t MemoryMb = 256;
        constexpr std::size_t Descriptors = 1100;
        checkUsage(crowd_.press(testbed_.process(Instance).pid(), address), MemoryMb, Descriptors);
        REQUIRE(testbed_.process(Instance).isRunning());
        CHECK(testbed_.eventually([this] {
            const auto answer = testbed_.query(Instance, "technician-tablet", "parts");
            return answer && answer->status == 200;
        }));
    }

private:
    static constexpr const char *Instance = "litoral-a";

    /// Freed blocks of the sanitized build are not what is measured. Set before the instance starts.
    const int sanitizer_ = setenv("ASAN_OPTIONS", "abort_on_error=1:quarantine_size_mb=1", 1);
    Testbed testbed_;
    Crowd crowd_;
};

} // namespace Burdock
