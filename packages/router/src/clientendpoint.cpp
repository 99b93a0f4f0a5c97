#include <burdock/router/clientendpoint.h>

#include <burdock/router/httpbackends.h>
#include <burdock/router/passonheaders.h>
#include <burdock/wire/json.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace Burdock
{

namespace
{

/// Larger client timeouts are ignored as client errors.
constexpr std::int64_t MaxClientTimeoutMs = 86400000;

/// A client that comes late to an instance that stops finds another one at once.
constexpr Duration StoppingRetryAfter = std::chrono::milliseconds(50);
/// What other instances are told: they keep connections for part of the time after which the server closes idle ones.
constexpr const char *PeerKeepAlive = "timeout=10";

std::string formatSeconds(Duration duration)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(duration).count());
    return text.data();
}

std::optional<Duration> parseClientTimeout(const std::string &text)
{
    std::int64_t milliseconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (error != std::errc() || end != text.data() + text.size() || milliseconds < 0 || milliseconds > MaxClientTimeoutMs) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(milliseconds);
}

std::string join(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words) {
        text.append(text.empty() ? "" : ", ").append(word);
    }
    return text;
}

std::string_view kindName(ClientAnswer::Kind kind)
{
    constexpr std::array<std::string_view, 4> Names{"passed", "gathered", "refused", "failed"};
    return Names[static_cast<std::size_t>(kind)];
}

} // namespace

ClientEndpoint::ClientEndpoint(Runtime &runtime, RequestCoordinator &coordinator, DecisionLog &log, RouterMetrics &metrics, HeaderNames names)
    : runtime_(runtime)
    , coordinator_(coordinator)
    , log_(log)
    , metrics_(metrics)
    , names_(std::move(names))
{
}

ClientRequest ClientEndpoint::readRequest(HttpServerRequest incoming) const
{
    ClientRequest request;
    request.arrived = runtime_.now();
    request.method = std::move(incoming.method);
    request.target = std::move(incoming.target);
    request.headers = std::move(incoming.headers);
    request.body = std::move(incoming.body);
    const auto id = request.headers.find(names_.requestId);
    if (id != request.headers.end()) {
        request.id = id->second;
    }
    const auto timeout = request.headers.find(names_.timeLeft);
    if (timeout != request.headers.end()) {
        request.clientTimeout = parseClientTimeout(timeout->second);
    }
    if (const auto key = request.headers.extract(names_.key)) {
        request.key = key.mapped();
    }
    request.headers.erase(names_.workspace);
    request.headers.erase(names_.targetServer);
    removeConnectionHeaders(request.headers);
    return request;
}

HttpServerResponse ClientEndpoint::makeResponse(const ClientRequest &request, const ClientAnswer &answer) const
{
    HttpServerResponse out;
    out.status = answer.status;
    if (answer.succeeded()) {
        out.jsonByDefault = false;
        out.headers = answer.headers;
        out.body = answer.body.text();
    } else {
        const char *verdict = answer.kind == ClientAnswer::Kind::Refused ? "notRun" : "mayHaveRun";
        out.body = writeJson(nlohmann::json{{"error", {{"message", answer.reason}, {"verdict", verdict}}}});
    }
    if (answer.kind == ClientAnswer::Kind::Gathered) {
        out.headers[names_.partSignatures] = join(answer.signatures);
        if (answer.missing > 0) {
            out.headers[names_.missingParts] = std::to_string(answer.missing);
        }
    }
    if (answer.retryAfter > Duration{0}) {
        out.headers["Retry-After"] = formatSeconds(answer.retryAfter);
    }
    if (request.passedOn) {
        PassOnHeaders::writeOutcome(out.headers, answer, configVersion_);
        out.headers["Keep-Alive"] = PeerKeepAlive;
    }
    return out;
}

void ClientEndpoint::recordAnswer(const ClientRequest &request, const Route *route, const ClientAnswer &answer, Duration elapsed)
{
    if (!request.passedOn) {
        metrics_.countAnswer(route == nullptr ? std::string() : route->name, kindName(answer.kind), elapsed, answer.missing);
    }
    log_.write(answer.succeeded() && answer.missing == 0 ? DecisionPriority::Routine : DecisionPriority::Problem,
               "request.answered",
               {{"request", request.id},
                {"from", request.passedOn ? std::string_view(request.passedOn->from.text()) : std::string_view()},
                {"route", route == nullptr ? std::string_view("none") : std::string_view(route->name)},
                {"config", configVersion_},
                {"outcome", kindName(answer.kind)},
                {"status", static_cast<std::int64_t>(answer.status)},
                {"parts", static_cast<std::int64_t>(answer.signatures.size())},
                {"missing", static_cast<std::int64_t>(answer.missing)},
                {"patienceMs", request.clientTimeout ? request.clientTimeout->count() / 1000 : -1},
                {"retryAfterMs", answer.retryAfter.count() / 1000},
                {"tookUs", elapsed.count()},
                {"reason", answer.reason}});
}

void ClientEndpoint::serve(HttpServerRequest incoming, const std::shared_ptr<HttpResponder> &responder)
{
    PassOnHeaders::remove(incoming.headers);
    serveRequest(readRequest(std::move(incoming)), responder);
}

void ClientEndpoint::servePassedOn(HttpServerRequest incoming, const std::shared_ptr<HttpResponder> &responder)
{
    const auto terms = PassOnHeaders::read(incoming.headers);
    PassOnHeaders::remove(incoming.headers);
    ClientRequest request = readRequest(std::move(incoming));
    if (!terms) {
        request.passedOn = PassOnTerms();
        ClientAnswer answer = refusal(AnswerStatus::BadRequest, terms.error().message);
        answer.inability = ClientAnswer::Inability::Instance;
        responder->respond(makeResponse(request, answer));
        return;
    }
    request.passedOn = *terms;
    serveRequest(std::move(request), responder);
}

void ClientEndpoint::serveRequest(ClientRequest request, const std::shared_ptr<HttpResponder> &responder)
{
    if (request.target.empty() || request.target.front() != '/') {
        responder->respond(makeResponse(request, refusal(AnswerStatus::BadRequest, "the request target must be a path")));
        return;
    }
    // The coordinator takes ownership of the request, so the fields for the log are copied.
    ClientRequest loggedRequest;
    loggedRequest.id = request.id;
    loggedRequest.clientTimeout = request.clientTimeout;
    loggedRequest.passedOn = request.passedOn;
    const TimePoint arrived = request.arrived;
    if (arrived >= refusedFrom_) {
        ClientAnswer answer = refusal(AnswerStatus::Unavailable, "the instance is stopping", StoppingRetryAfter);
        answer.inability = request.passedOn ? ClientAnswer::Inability::Instance : ClientAnswer::Inability::None;
        recordAnswer(loggedRequest, nullptr, answer, Duration{0});
        responder->respond(makeResponse(loggedRequest, answer));
        return;
    }
    ExceptionBoundary &boundary = runtime_.boundary();
    // Also called from code that runs for other requests, or for none.
    const auto onAnswer = [this, &boundary, work = boundary.work(), responder, loggedRequest, arrived](const Route *route, const ClientAnswer &answer) {
        boundary.runFor(work, "answer", [&] {
            recordAnswer(loggedRequest, route, answer, runtime_.now() - arrived);
            responder->respond(makeResponse(loggedRequest, answer));
        });
    };
    const ServedRequestId id = coordinator_.serve(std::move(request), onAnswer);
    responder->setDisconnectHandler([this, id, loggedRequest] {
        coordinator_.onClientDisconnected(id);
        const bool byPeer = loggedRequest.passedOn.has_value();
        if (!byPeer) {
            metrics_.countDisconnect();
        }
        log_.write(DecisionPriority::Problem,
                   "request.abandoned",
                   {{"request", loggedRequest.id},
                    {"from", byPeer ? std::string_view(loggedRequest.passedOn->from.text()) : std::string_view()},
                    {"reason", byPeer ? "the instance that passed it on closed its connection" : "the client closed its connection"}});
    });
}

} // namespace Burdock
