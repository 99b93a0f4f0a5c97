#pragma once

#include "soakfaults.h"

#include <string>

namespace Burdock
{

/// Returns an HTML page with load, latency and faults over time, and the violations.
std::string soakReport(std::uint64_t seed, const SoakChecks &checks, const std::vector<InjectedFault> &faults);

/// Returns one line with the numbers of requests, served, refused and failed, and the median and 99th percentile latency.
std::string soakSummary(const SoakChecks &checks);

} // namespace Burdock
