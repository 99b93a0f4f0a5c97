#pragma once

#include <burdock/daemon/backendadapter.h>
#include <burdock/daemon/backendlives.h>
#include <burdock/daemon/entryservice.h>
#include <burdock/daemon/holderrouter.h>
#include <burdock/daemon/metrics.h>
#include <burdock/policy/admission.h>
#include <burdock/policy/budgetedtactics.h>
#include <burdock/policy/holder.h>
#include <burdock/policy/query.h>
#include <burdock/wire/httpserver.h>
#include <burdock/wire/peerlinks.h>

namespace Burdock
{

/// The parts of an instance whose counters are shown.
struct MetricSources
{
    const QueryCounters &queries;
    const BudgetedTactics &tactics;
    const Admission &admission;
    const Holder &holder;
    const HolderRouter &router;
    const BackendAdapter &backends;
    const BackendLives &lives;
    const HttpServer &server;
    const PeerLinks &links;
};

/// Names every counter of the sources, to be read when the metrics are written.
void watchInstance(Metrics &metrics, const MetricSources &sources);

} // namespace Burdock
