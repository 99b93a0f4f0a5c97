#pragma once

#include <burdock/router/headernames.h>
#include <burdock/routing/backendrequests.h>
#include <burdock/wire/httpclient.h>

namespace Burdock
{

/// Sends clients' requests to backend servers over HTTP. Only the headers for the time left and the target server are changed.
class HttpBackends final : public BackendRequests
{
public:
    HttpBackends(Runtime &runtime, HttpClient &client, HeaderNames names);

    BackendRequestId send(const ServerHandle &server, const std::shared_ptr<const ClientRequest> &request, TimePoint deadline, Callback done) override;
    void cancel(BackendRequestId id) override;

    /// Converts a server's response to its reply, or to a failure that states whether the request may have run.
    static Result<ServerReply> interpretResponse(const HeaderNames &names, const ServerEntry &server, Result<HttpResponse> response);

private:
    Runtime &runtime_;
    HttpClient &client_;
    const HeaderNames names_;
};

/// Removes the hop-by-hop headers, including those listed in the Connection header.
void removeConnectionHeaders(std::map<std::string, std::string> &headers);

} // namespace Burdock
