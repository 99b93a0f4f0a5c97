#pragma once

#include <burdock/routing/crashguard.h>
#include <burdock/values/failure.h>

#include <string>
#include <vector>

namespace Burdock
{

/// Encodes crash reports as the value of a key in the store.
std::string writeCrashReports(const std::vector<CrashReport> &reports);

/// Decodes the value; returns an error if it holds anything else. At most as many reports are read as an instance shares.
Result<std::vector<CrashReport>> readCrashReports(const std::string &value);

} // namespace Burdock
