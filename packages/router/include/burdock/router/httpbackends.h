#pragma once

#include <burdock/router/decisionlog.h>
#include <burdock/router/headernames.h>
#include <burdock/routing/backendrequests.h>
#include <burdock/wire/httpclient.h>

namespace Burdock
{

/// Sends clients' requests to backend servers over HTTP. Only the headers for the time left and the target server are changed.
class HttpBackends final : public BackendRequests
{
public:
    /// Called with each response of a server and the limit that it names, in requests per second, if any.
    using LimitHandler = std::function<void(const ServerEntry &, std::optional<double>)>;

    HttpBackends(Runtime &runtime, HttpClient &client, HeaderNames names, LimitHandler onLimit, DecisionLog &log);

    BackendRequestId send(const ServerHandle &server, const std::shared_ptr<const ClientRequest> &request, TimePoint deadline, Callback done) override;
    void cancel(BackendRequestId id) override;

    /// Converts a server's response to its reply, or to a failure that states whether the request may have run.
    static Result<ServerReply> interpretResponse(const HeaderNames &names, const ServerEntry &server, Result<HttpResponse> response);

    /// Returns the limit that a response names, nothing if it names none, or an error if the value is no number from zero up.
    static Result<std::optional<double>> readLimit(const HeaderNames &names, const HttpResponse &response);

private:
    void noteLimit(const ServerEntry &server, const HttpResponse &response);

    Runtime &runtime_;
    HttpClient &client_;
    const HeaderNames names_;
    const LimitHandler onLimit_;
    DecisionLog &log_;
};

/// Removes the hop-by-hop headers, including those listed in the Connection header.
void removeConnectionHeaders(std::map<std::string, std::string> &headers);

} // namespace Burdock
