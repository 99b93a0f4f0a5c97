#pragma once

#include <burdock/routing/rateholder.h>
#include <burdock/values/failure.h>

#include <string>

namespace Burdock
{

/// Writes and reads what instances tell each other about rates. Malformed messages are errors; what a later build adds at the end is
/// ignored.
std::string writeRateAsk(const RateAsk &ask);
Result<RateAsk> readRateAsk(const std::string &bytes);
std::string writeRateReply(const RateReply &reply);
Result<RateReply> readRateReply(const std::string &bytes);

} // namespace Burdock
