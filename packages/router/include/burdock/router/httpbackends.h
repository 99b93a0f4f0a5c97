#pragma once

#include <burdock/router/headernames.h>
#include <burdock/routing/backendrequests.h>
#include <burdock/wire/httpclient.h>

namespace Burdock
{

/// Sends clients' requests to backend servers over HTTP, unchanged but for the time left and the server that is meant.
class HttpBackends final : public BackendRequests
{
public:
    HttpBackends(Runtime &runtime, HttpClient &client, HeaderNames names);

    BackendRequestId send(const ServerHandle &server, const std::shared_ptr<const ClientRequest> &request, TimePoint deadline, Callback done) override;
    void cancel(BackendRequestId id) override;

    /// What a server's response means: its answer, or why there is none and whether the request may have run.
    static Result<ServerReply> interpretResponse(const HeaderNames &names, const ServerEntry &server, Result<HttpResponse> response);

private:
    Runtime &runtime_;
    HttpClient &client_;
    const HeaderNames names_;
};

/// Drops the headers that concern one connection only, and those that its Connection header names.
void removeConnectionHeaders(std::map<std::string, std::string> &headers);

} // namespace Burdock
