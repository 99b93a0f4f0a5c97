#pragma once

#include <burdock/router/decisionlog.h>
#include <burdock/router/headernames.h>
#include <burdock/router/routermetrics.h>
#include <burdock/routing/requestcoordinator.h>
#include <burdock/wire/httpserver.h>

namespace Burdock
{

/// Takes clients' requests off HTTP, hands them to the desk, and writes the answers.
class ClientDoor
{
public:
    ClientDoor(Runtime &runtime, RequestCoordinator &desk, DecisionLog &log, RouterMetrics &metrics, HeaderNames names);

    /// Serves one request.
    void serve(HttpServerRequest incoming, const std::shared_ptr<HttpResponder> &responder);

    /// The version of the routes, for the log.
    void setVersion(std::int64_t version)
    {
        version_ = version;
    }

private:
    ClientRequest read(HttpServerRequest incoming) const;
    HttpServerResponse write(const ClientAnswer &answer) const;
    void note(const ClientRequest &request, const Route *route, const ClientAnswer &answer, Duration took);

    Runtime &runtime_;
    RequestCoordinator &desk_;
    DecisionLog &log_;
    RouterMetrics &metrics_;
    const HeaderNames names_;
    std::int64_t version_ = 0;
};

} // namespace Burdock
