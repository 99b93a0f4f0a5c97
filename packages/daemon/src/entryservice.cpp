#include <burdock/daemon/entryservice.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

constexpr std::size_t MaxRequestIdBytes = 128;

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
        {"GET", "/v1/entries", &EntryService::handleEntries},
        {"POST", "/v1/query", &EntryService::handleQuery},
        {"POST", "/v1/command", &EntryService::handleCommand},
        {"GET", "/healthz", &EntryService::handleHealth},
        {"GET", "/readyz", &EntryService::handleReady},
        {"GET", "/metrics", &EntryService::handleMetrics},
        {"GET", "/v1/status", &EntryService::handleStatus},
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
    if (found != request.headers.end() && !found->second.empty() && found->second.size() <= MaxRequestIdBytes) {
        return found->second;
    }
    return "r" + std::to_string(++lastRequest_);
}

void EntryService::refuse(const Failure &failure, const std::string &requestId, const Responder &responder)
{
    metrics_.recordRefusal(std::string(errcName(failure.code)), std::string(verdictName(failure.verdict)));
    responder->respond(withRequestId(writeFailure(failure), requestId));
}

void EntryService::handleEntries(const HttpServerRequest &request, const Responder &responder)
{
    const auto parameter = [&request](const std::string &name) {
        const auto found = request.query.find(name);
        return found == request.query.end() ? std::string() : found->second;
    };
    const Place caller{Region(parameter("region")), DataCentre(parameter("dataCentre"))};
    responder->respond(writeEntries(ports_.entries(caller), ports_.entriesMaxAge));
}

void EntryService::handleQuery(const HttpServerRequest &request, const Responder &responder)
{
    const std::string id = requestId(request);
    const Result<Query> query = readQuery(request);
    const auto refusal = ports_.admissionRefusal();
    if (!query || refusal) {
        refuse(refusal ? *refusal : query.error(), id, responder);
        return;
    }
    const Rank rank = ports_.rankOf(query->caller, query->index, CommandName());
    ++inFlight_;
    const auto pending = std::make_shared<bool>(true);
    const std::uint64_t number = queries_.submit(*query, [this, id, rank, pending, responder](Result<QueryAnswer> result) {
        *pending = false;
        --inFlight_;
        if (!result) {
            refuse(result.error(), id, responder);
            return;
        }
        metrics_.recordAnswer(rank, result->took, result->coverage.fraction());
        responder->respond(withRequestId(writeAnswer(id, *result), id));
    });
    responder->setDisconnectHandler([this, number, pending] {
        if (std::exchange(*pending, false)) {
            --inFlight_;
            queries_.abandon(number);
        }
    });
}

void EntryService::handleCommand(const HttpServerRequest &request, const Responder &responder)
{
    const std::string id = requestId(request);
    const Result<CommandRequest> command = readCommand(request);
    const auto refusal = ports_.admissionRefusal();
    if (!command || refusal) {
        refuse(refusal ? *refusal : command.error(), id, responder);
        return;
    }
    const Rank rank = ports_.rankOf(command->caller, IndexName(), command->command);
    const TimePoint startedAt = runtime_.now();
    ++inFlight_;
    ports_.command(*command, [this, id, rank, startedAt, responder](Result<CommandResult> result) {
        --inFlight_;
        if (!result) {
            refuse(result.error(), id, responder);
            return;
        }
        metrics_.recordAnswer(rank, runtime_.now() - startedAt, 1.0);
        responder->respond(withRequestId(writeOutcome(id, result->outcome, result->replayed), id));
    });
}

void EntryService::handleHealth(const HttpServerRequest &, const Responder &responder)
{
    responder->respond(HttpServerResponse{200, {{"Content-Type", "text/plain"}}, "alive\n"});
}

void EntryService::handleReady(const HttpServerRequest &, const Responder &responder)
{
    const auto refusal = ports_.admissionRefusal();
    responder->respond(refusal ? writeFailure(*refusal) : HttpServerResponse{200, {{"Content-Type", "text/plain"}}, "ready\n"});
}

void EntryService::handleMetrics(const HttpServerRequest &, const Responder &responder)
{
    responder->respond(HttpServerResponse{200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.text()});
}

void EntryService::handleStatus(const HttpServerRequest &, const Responder &responder)
{
    responder->respond(HttpServerResponse{200, {{"Content-Type", "application/json"}}, ports_.status()});
}

} // namespace Burdock
