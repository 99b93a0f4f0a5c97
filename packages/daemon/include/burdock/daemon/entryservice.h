#pragma once

#include <burdock/daemon/callerjson.h>
#include <burdock/daemon/metrics.h>
#include <burdock/policy/querycoordinator.h>
#include <burdock/wire/httpserver.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Burdock
{

/// What the callers' interface needs from the rest of the instance.
struct EntryPorts
{
    /// Why no work is admitted now; nothing where it is.
    std::function<std::optional<Failure>()> admissionRefusal;
    /// The addresses that a caller at a place should use, best first; empty names mean that it did not say.
    std::function<std::vector<ListedInstance>(const Place &caller)> entries;
    Duration entriesMaxAge{0};
    /// Runs a command.
    std::function<void(const CommandRequest &request, CommandRun::Done done)> command;
    /// The rank that the declarations give the caller of a query or command; for metrics only.
    std::function<Rank(const CallerId &caller, const IndexName &index, const CommandName &command)> rankOf;
    /// The JSON text of `GET /v1/status`.
    std::function<std::string()> status;
};

/// The callers' and operators' HTTP interface of one instance.
class EntryService
{
public:
    EntryService(Runtime &runtime, HttpServer &server, QueryCoordinator &queries, Metrics &metrics, EntryPorts ports);

    /// How many queries and commands are not yet answered.
    std::size_t inFlight() const;

private:
    using Responder = std::shared_ptr<HttpResponder>;
    using Handler = void (EntryService::*)(const HttpIncoming &, const Responder &);

    struct Route
    {
        const char *method;
        const char *path;
        Handler handler;
    };

    static const std::vector<Route> &routes();

    void handle(const HttpIncoming &request, const Responder &responder);
    void handleEntries(const HttpIncoming &request, const Responder &responder);
    void handleQuery(const HttpIncoming &request, const Responder &responder);
    void handleCommand(const HttpIncoming &request, const Responder &responder);
    void handleHealth(const HttpIncoming &request, const Responder &responder);
    void handleReady(const HttpIncoming &request, const Responder &responder);
    void handleMetrics(const HttpIncoming &request, const Responder &responder);
    void handleStatus(const HttpIncoming &request, const Responder &responder);
    void refuse(const Failure &failure, const std::string &requestId, const Responder &responder);
    std::string requestId(const HttpIncoming &request);

    Runtime &runtime_;
    QueryCoordinator &queries_;
    Metrics &metrics_;
    EntryPorts ports_;
    std::uint64_t lastRequest_ = 0;
    std::size_t inFlight_ = 0;
};

} // namespace Burdock
