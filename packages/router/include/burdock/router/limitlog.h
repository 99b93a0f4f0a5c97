#pragma once

#include <burdock/router/decisionlog.h>
#include <burdock/routing/serverlimits.h>

#include <string_view>

namespace Burdock
{

/// Logs what this instance knows of a server's limit, and what it did there since the previous line.
void writeLimit(DecisionLog &log, std::string_view event, const LimitReport &report);

} // namespace Burdock
