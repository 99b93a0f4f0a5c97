#pragma once

#include "soakfaults.h"

#include <string>

namespace Burdock
{

/// A page with load, latency and faults over time, and what was violated.
std::string soakReport(std::uint64_t seed, const SoakChecks &checks, const std::vector<InjectedFault> &faults);

/// One line: how much was request, served, refused and failed, and the median and highest latency.
std::string soakSummary(const SoakChecks &checks);

} // namespace Burdock
