#pragma once

#include <burdock/daemon/backendadapter.h>
#include <burdock/daemon/entryservice.h>
#include <burdock/daemon/holderrouter.h>
#include <burdock/daemon/metrics.h>
#include <burdock/policy/admission.h>
#include <burdock/policy/backendlifetable.h>
#include <burdock/policy/budgetedtactics.h>
#include <burdock/policy/commandrun.h>
#include <burdock/policy/holder.h>
#include <burdock/policy/membership.h>
#include <burdock/policy/query.h>
#include <burdock/wire/httpserver.h>
#include <burdock/wire/memorybudget.h>
#include <burdock/wire/peerlinks.h>

namespace Burdock
{

/// The components of an instance whose counters are exported as metrics.
struct MetricSources
{
    const QueryCounters &queries;
    const BudgetedTactics &tactics;
    const CommandCounters &commands;
    const Admission &admission;
    const Holder &holder;
    const HolderRouter &router;
    const BackendAdapter &backends;
    const BackendLifeTable &lives;
    const HttpServer &server;
    const MemoryBudget &memory;
    const PeerLinks &links;
};

/// Registers every counter of the sources. The counters are read when the metrics are written.
void registerInstanceMetrics(Metrics &metrics, const MetricSources &sources);

/// Registers the counters of the membership, which is created later than the other components.
void registerMembershipMetrics(Metrics &metrics, const Membership &membership);

} // namespace Burdock
