#include <burdock/router/memoryreport.h>

namespace Burdock
{

MemoryReport::MemoryReport(MemoryBudget &budget, DecisionLog &log, RouterMetrics &metrics)
    : budget_(budget)
    , log_(log)
{
    const auto counter = [&budget, &metrics](const char *name, const char *help, std::uint64_t MemoryBudget::Counters::*member) {
        metrics.addValue(name, "counter", help, [&budget, member] { return static_cast<double>(budget.counters().*member); });
    };
    metrics.addValue("burdock_memory_held_bytes", "gauge", "Memory that is held for clients, servers and other instances.", [&budget] {
        return static_cast<double>(budget.held());
    });
    metrics.addValue(
        "burdock_memory_limit_bytes", "gauge", "The memory that may be held for them.", [&budget] { return static_cast<double>(budget.terms().limit); });
    counter("burdock_memory_paused_total", "Connections that were not read any further, to save memory.", &MemoryBudget::Counters::paused);
    counter("burdock_memory_refused_total", "Requests refused before their body was read, for lack of memory.", &MemoryBudget::Counters::refused);
    counter("burdock_memory_closed_total", "Connections closed for lack of memory since they made no progress.", &MemoryBudget::Counters::closed);
    counter("burdock_memory_dropped_total", "Responses dropped for lack of memory.", &MemoryBudget::Counters::dropped);
    budget_.setLevelHandler([this](MemoryLevel before, MemoryLevel now) { logLevel(before, now); });
}

MemoryReport::~MemoryReport()
{
    budget_.setLevelHandler(nullptr);
}

void MemoryReport::logLevel(MemoryLevel before, MemoryLevel now)
{
    const MemoryBudget::Counters &counters = budget_.counters();
    log_.write(DecisionPriority::Change,
               "memory.level",
               {{"outcome", nameOf(now)},
                {"before", nameOf(before)},
                {"heldBytes", static_cast<std::int64_t>(budget_.held())},
                {"limitBytes", static_cast<std::int64_t>(budget_.terms().limit)},
                {"paused", static_cast<std::int64_t>(counters.paused)},
                {"refused", static_cast<std::int64_t>(counters.refused)},
                {"closed", static_cast<std::int64_t>(counters.closed)},
                {"dropped", static_cast<std::int64_t>(counters.dropped)}});
}

} // namespace Burdock
