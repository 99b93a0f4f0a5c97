#include <burdock/daemon/entryservice.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

constexpr std::size_t LongestRequestId = 128;

HttpServerResponse withRequestId(HttpServerResponse answer, const std::string &requestId)
{
    answer.headers["X-Request-Id"] = requestId;
    return answer;
}

} // namespace

EntryService::EntryService(Runtime &runtime, HttpServer &server, QueryCoordinator &queries, Metrics &metrics, EntryPorts ports)
    : runtime_(runtime)
    , queries_(queries)
    , metrics_(metrics)
    , ports_(std::move(ports))
{
    server.setHandler([this](const HttpServerRequest &request, const Responder &responder) { handle(request, responder); });
}

const std::vector<EntryService::Route> &EntryService::routes()
{
    static const std::vector<Route> table{
        {"GET", "/v1/entries", &EntryService::entries},
        {"POST", "/v1/query", &EntryService::query},
        {"POST", "/v1/command", &EntryService::command},
        {"GET", "/healthz", &EntryService::health},
        {"GET", "/readyz", &EntryService::ready},
        {"GET", "/metrics", &EntryService::metricsText},
        {"GET", "/v1/status", &EntryService::status},
    };
    return table;
}

std::size_t EntryService::inFlight() const
{
    return inFlight_;
}

void EntryService::handle(const HttpServerRequest &request, const Responder &responder)
{
    bool pathKnown = false;
    for (const Route &route : routes()) {
        if (request.path != route.path) {
            continue;
        }
        pathKnown = true;
        if (request.method == route.method) {
            (this->*route.handler)(request, responder);
            return;
        }
    }
    const std::string what = pathKnown ? "method " + request.method + " is not for " : "there is no ";
    const auto failure = notRun(pathKnown ? Errc::BadRequest : Errc::NotFound, what + request.path + "; see docs/INTERFACES.md");
    refuse(failure.value(), requestId(request), responder);
}

std::string EntryService::requestId(const HttpServerRequest &request)
{
    const auto found = request.headers.find("x-request-id");
    if (found != request.headers.end() && !found->second.empty() && found->second.size() <= LongestRequestId) {
        return found->second;
    }
    return "r" + std::to_string(++lastRequest_);
}

void EntryService::refuse(const Failure &failure, const std::string &requestId, const Responder &responder)
{
    metrics_.refused(std::string(errcName(failure.code)), std::string(verdictName(failure.verdict)));
    responder->respond(withRequestId(writeFailure(failure), requestId));
}

void EntryService::entries(const HttpServerRequest &request, const Responder &responder)
{
    const auto parameter = [&request](const std::string &name) {
        const auto found = request.query.find(name);
        return found == request.query.end() ? std::string() : found->second;
    };
    const Place caller{Region(parameter("region")), DataCentre(parameter("dataCentre"))};
    responder->respond(writeEntries(ports_.entries(caller), ports_.entriesMaxAge));
}

void EntryService::query(const HttpServerRequest &request, const Responder &responder)
{
    const std::string id = requestId(request);
    const Result<Query> query = readQuery(request);
    const auto closed = ports_.notAdmitting();
    if (!query || closed) {
        refuse(closed ? *closed : query.error(), id, responder);
        return;
    }
    const Rank rank = ports_.rankOf(query->caller, query->index, CommandName());
    ++inFlight_;
    const auto open = std::make_shared<bool>(true);
    const std::uint64_t number = queries_.submit(*query, [this, id, rank, open, responder](Result<QueryAnswer> result) {
        *open = false;
        --inFlight_;
        if (!result) {
            refuse(result.error(), id, responder);
            return;
        }
        metrics_.answered(rank, result->took, result->coverage.fraction());
        responder->respond(withRequestId(writeAnswer(id, *result), id));
    });
    responder->setDisconnectHandler([this, number, open] {
        if (std::exchange(*open, false)) {
            --inFlight_;
            queries_.abandon(number);
        }
    });
}

void EntryService::command(const HttpServerRequest &request, const Responder &responder)
{
    const std::string id = requestId(request);
    const Result<CommandRequest> ask = readCommand(request);
    const auto closed = ports_.notAdmitting();
    if (!ask || closed) {
        refuse(closed ? *closed : ask.error(), id, responder);
        return;
    }
    const Rank rank = ports_.rankOf(ask->caller, IndexName(), ask->command);
    const TimePoint startedAt = runtime_.now();
    ++inFlight_;
    ports_.command(*ask, [this, id, rank, startedAt, responder](Result<CommandResult> result) {
        --inFlight_;
        if (!result) {
            refuse(result.error(), id, responder);
            return;
        }
        metrics_.answered(rank, runtime_.now() - startedAt, 1.0);
        responder->respond(withRequestId(writeOutcome(id, result->outcome, result->replayed), id));
    });
}

void EntryService::health(const HttpServerRequest &, const Responder &responder)
{
    responder->respond(HttpServerResponse{200, {{"Content-Type", "text/plain"}}, "alive\n"});
}

void EntryService::ready(const HttpServerRequest &, const Responder &responder)
{
    const auto closed = ports_.notAdmitting();
    responder->respond(closed ? writeFailure(*closed) : HttpServerResponse{200, {{"Content-Type", "text/plain"}}, "ready\n"});
}

void EntryService::metricsText(const HttpServerRequest &, const Responder &responder)
{
    responder->respond(HttpServerResponse{200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.text()});
}

void EntryService::status(const HttpServerRequest &, const Responder &responder)
{
    responder->respond(HttpServerResponse{200, {{"Content-Type", "application/json"}}, ports_.status()});
}

} // namespace Burdock
