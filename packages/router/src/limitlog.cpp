#include <burdock/router/limitlog.h>

namespace Burdock
{

void writeLimit(DecisionLog &log, std::string_view event, const LimitReport &report)
{
    constexpr double Thousandths = 1000;
    log.write(DecisionPriority::Change,
              event,
              {{"server", report.server.text()},
               {"service", report.service.text()},
               {"outcome", report.limit ? "limited" : "ended"},
               {"limitPerThousandSeconds", static_cast<std::int64_t>(report.limit.value_or(0) * Thousandths)},
               {"spanMs", report.span.count() / 1000},
               {"sharePerThousandSeconds", static_cast<std::int64_t>(report.share * Thousandths)},
               {"sharers", static_cast<std::int64_t>(report.sharers)},
               {"sends", static_cast<std::int64_t>(report.sends)},
               {"repeats", static_cast<std::int64_t>(report.repeats)},
               {"refusals", static_cast<std::int64_t>(report.refusals)}});
}

} // namespace Burdock
