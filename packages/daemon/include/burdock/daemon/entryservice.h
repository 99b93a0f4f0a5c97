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

/// The functions of the instance that EntryService depends on.
struct EntryPorts
{
    /// Returns the reason why new work is refused now, or nothing if it is admitted.
    std::function<std::optional<Failure>()> admissionRefusal;
    /// Returns the instances that a caller at a place should use, best first. Empty names mean that the caller gave no place.
    std::function<std::vector<ListedInstance>(const Place &caller)> entries;
    Duration entriesMaxAge{0};
    /// Runs a command and calls `done` with its result.
    std::function<void(const CommandRequest &request, CommandRun::Done done)> command;
    /// Returns the rank that the declarations give the caller of a query or command. Used for metrics only.
    std::function<Rank(const CallerId &caller, const IndexName &index, const CommandName &command)> rankOf;
    /// Returns the body of `GET /v1/status` as JSON text.
    std::function<std::string()> status;
};

/// The HTTP interface of one instance for callers and operators.
class EntryService
{
public:
    EntryService(Runtime &runtime, HttpServer &server, QueryCoordinator &queries, Metrics &metrics, EntryPorts ports);

    /// Returns the number of queries and commands that are not answered yet.
    std::size_t inFlight() const;

private:
    using Responder = std::shared_ptr<HttpResponder>;
    using Handler = void (EntryService::*)(const HttpServerRequest &, const Responder &);

    struct Route
    {
        const char *method;
        const char *path;
        Handler handler;
    };

    static const std::vector<Route> &routes();

    void handle(const HttpServerRequest &request, const Responder &responder);
    void handleEntries(const HttpServerRequest &request, const Responder &responder);
    void handleQuery(const HttpServerRequest &request, const Responder &responder);
    void handleCommand(const HttpServerRequest &request, const Responder &responder);
    void handleHealth(const HttpServerRequest &request, const Responder &responder);
    void handleReady(const HttpServerRequest &request, const Responder &responder);
    void handleMetrics(const HttpServerRequest &request, const Responder &responder);
    void handleStatus(const HttpServerRequest &request, const Responder &responder);
    void refuse(const Failure &failure, const std::string &requestId, const Responder &responder);
    std::string requestId(const HttpServerRequest &request);

    Runtime &runtime_;
    QueryCoordinator &queries_;
    Metrics &metrics_;
    EntryPorts ports_;
    std::uint64_t lastRequest_ = 0;
    std::size_t inFlight_ = 0;
};

} // namespace Burdock
