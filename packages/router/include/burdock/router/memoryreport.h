#pragma once

#include <burdock/router/decisionlog.h>
#include <burdock/router/routermetrics.h>
#include <burdock/wire/memorybudget.h>

namespace Burdock
{

/// Shows operators how full the memory budget is and what it does: as metrics, and as a log line whenever its level changes.
class MemoryReport
{
public:
    /// All three must outlive this object.
    MemoryReport(MemoryBudget &budget, DecisionLog &log, RouterMetrics &metrics);
    ~MemoryReport();
    MemoryReport(const MemoryReport &) = delete;
    MemoryReport &operator=(const MemoryReport &) = delete;

private:
    void logLevel(MemoryLevel before, MemoryLevel now);

    MemoryBudget &budget_;
    DecisionLog &log_;
};

} // namespace Burdock
