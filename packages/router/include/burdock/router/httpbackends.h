#pragma once

#include <burdock/router/decisionlog.h>
#include <burdock/router/headernames.h>
#include <burdock/routing/backendrequests.h>
#include <burdock/routing/serverwork.h>
#include <burdock/wire/httpclient.h>

#include <optional>
#include <tuple>

namespace Burdock
{

/// What a server's response says of the requests that the server wants.
struct ServerHints
{
    /// Requests per second from all instances together, and whether the response could be read in this respect.
    std::optional<double> limit;
    bool limitKnown = true;
    bool leaving = false;
    /// No requests from this instance for this time.
    std::optional<Duration> pause;
    /// What it told of its load.
    std::optional<ToldLoad> load;

    auto fields() const
    {
        return std::tie(limit, limitKnown, leaving, pause, load);
    }
};

/// Sends clients' requests to backend servers over HTTP. Only the headers for the time left and the target server are changed.
class HttpBackends final : public BackendRequests
{
public:
    /// Called with each response of a server, also one that comes too late to be used, and what it says of further requests.
    using HintsHandler = std::function<void(const ServerEntry &, const ServerHints &)>;

    HttpBackends(Runtime &runtime, HttpClient &client, HeaderNames names, HintsHandler onHints, DecisionLog &log);

    BackendRequestId send(const ServerHandle &server, const std::shared_ptr<const ClientRequest> &request, TimePoint deadline, Callback done) override;
    void cancel(BackendRequestId id) override;
    bool hasRoom(std::size_t requests) const override;

    /// Whether a response belongs to the request and has each header that decides something once. A refusal must name the
    /// request, as the sender would otherwise not be known to mean this one.
    static bool answersRequest(const HeaderNames &names, const std::string &requestId, const HttpResponse &response);

    /// Converts a server's response to its reply, or to a failure that states whether the request may have run.
    static Result<ServerReply> interpretResponse(const HeaderNames &names, const ServerEntry &server, Result<HttpResponse> response);

    /// Returns the limit that a response names, nothing if it names none, or an error if the value is no number from zero up.
    static Result<std::optional<double>> readLimit(const HeaderNames &names, const HttpResponse &response);

    /// Returns for how long a response that turns a request away asks for none, nothing if it does not, or an error if the value is
    /// no number of seconds.
    static Result<std::optional<Duration>> readPause(const HttpResponse &response);

    /// Returns the load that a response tells of, nothing if it tells none, or an error if the value is malformed.
    static Result<std::optional<ToldLoad>> readLoad(const HeaderNames &names, const HttpResponse &response);

private:
    void noteHints(const ServerEntry &server, const HttpResponse &response);
    void logSkipped(const ServerEntry &server, const Failure &failure);

    Runtime &runtime_;
    HttpClient &client_;
    const HeaderNames names_;
    const HintsHandler onHints_;
    DecisionLog &log_;
};

/// Removes the hop-by-hop headers, including those listed in the Connection header.
void removeConnectionHeaders(std::map<std::string, std::string> &headers);

} // namespace Burdock
