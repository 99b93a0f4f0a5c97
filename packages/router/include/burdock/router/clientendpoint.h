#pragma once

#include <burdock/router/decisionlog.h>
#include <burdock/router/headernames.h>
#include <burdock/router/routermetrics.h>
#include <burdock/routing/requestcoordinator.h>
#include <burdock/wire/httpserver.h>

namespace Burdock
{

/// Serves clients over HTTP: passes each request to the coordinator and writes the answer as the response. Serves requests that other
/// instances pass on in the same way.
class ClientEndpoint
{
public:
    ClientEndpoint(Runtime &runtime, RequestCoordinator &coordinator, DecisionLog &log, RouterMetrics &metrics, HeaderNames names);

    /// Serves one request; responds once the coordinator has an answer.
    void serve(HttpServerRequest incoming, const std::shared_ptr<HttpResponder> &responder);

    /// Serves a request that another instance passed on.
    void servePassedOn(HttpServerRequest incoming, const std::shared_ptr<HttpResponder> &responder);

    /// Refuses requests from the given time on, since they could not be completed before the process ends.
    void refuseFrom(TimePoint time)
    {
        refusedFrom_ = time;
    }

    /// Sets the version of the routes, which log lines and answers to other instances contain.
    void setConfigVersion(std::int64_t configVersion)
    {
        configVersion_ = configVersion;
    }

private:
    ClientRequest readRequest(HttpServerRequest incoming) const;
    HttpServerResponse makeResponse(const ClientRequest &request, const ClientAnswer &answer) const;
    void serveRequest(ClientRequest request, const std::shared_ptr<HttpResponder> &responder);
    void recordAnswer(const ClientRequest &request, const Route *route, const ClientAnswer &answer, Duration elapsed);

    Runtime &runtime_;
    RequestCoordinator &coordinator_;
    DecisionLog &log_;
    RouterMetrics &metrics_;
    const HeaderNames names_;
    std::int64_t configVersion_ = 0;
    TimePoint refusedFrom_ = TimePoint::max();
};

} // namespace Burdock
