#pragma once

#include <burdock/router/decisionlog.h>
#include <burdock/routing/routingcontext.h>

namespace Burdock
{

/// Logs the hedges and retries of requests, the requests to services whose servers have reached their limits, and those passed on.
class RequestJournal final : public RoutingJournal
{
public:
    explicit RequestJournal(DecisionLog &log);

    void note(const RoutingEvent &event) override;
    void notePassedOn(const PassOnEvent &event) override;

private:
    DecisionLog &log_;
};

} // namespace Burdock
