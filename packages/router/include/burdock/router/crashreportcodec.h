#pragma once

#include <burdock/routing/crashguard.h>
#include <burdock/values/failure.h>
#include <burdock/values/runtime.h>

#include <string>
#include <vector>

namespace Burdock
{

/// Encodes crash reports, as known at the given time, as the value of a key in the store.
std::string writeCrashReports(const std::vector<CrashReport> &reports, WallTime at);

/// Decodes the value; returns an error if it holds anything else. At most as many reports are read as an instance shares, and none
/// that are too old to matter at the time `now`: the key has no lease and outlasts its writer.
Result<std::vector<CrashReport>> readCrashReports(const std::string &value, WallTime now);

} // namespace Burdock
