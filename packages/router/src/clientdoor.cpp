#include <burdock/router/clientdoor.h>

#include <burdock/router/httpbackends.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace Burdock
{

namespace
{

/// The longest patience that is believed; more is a mistake of the client.
constexpr std::int64_t MostPatienceMs = 86400000;

std::string seconds(Duration span)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(span).count());
    return text.data();
}

std::optional<Duration> patienceOf(const std::string &text)
{
    std::int64_t milliseconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (error != std::errc() || end != text.data() + text.size() || milliseconds < 0 || milliseconds > MostPatienceMs) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(milliseconds);
}

std::string joined(const std::vector<std::string> &words)
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

ClientDoor::ClientDoor(Runtime &runtime, RequestCoordinator &desk, DecisionLog &log, RouterMetrics &metrics, HeaderNames names)
    : runtime_(runtime)
    , desk_(desk)
    , log_(log)
    , metrics_(metrics)
    , names_(std::move(names))
{
}

ClientRequest ClientDoor::read(HttpServerRequest incoming) const
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
    const auto patience = request.headers.find(names_.timeLeft);
    if (patience != request.headers.end()) {
        request.clientTimeout = patienceOf(patience->second);
    }
    request.headers.erase(names_.targetServer);
    dropConnectionHeaders(request.headers);
    return request;
}

HttpServerResponse ClientDoor::write(const ClientAnswer &answer) const
{
    HttpServerResponse out;
    out.status = answer.status;
    if (answer.kind == ClientAnswer::Kind::Passed || answer.kind == ClientAnswer::Kind::Gathered) {
        out.jsonByDefault = false;
        out.headers = answer.headers;
        out.body = answer.body;
    } else {
        const char *verdict = answer.kind == ClientAnswer::Kind::Refused ? "notRun" : "mayHaveRun";
        out.body = nlohmann::json{{"error", {{"message", answer.reason}, {"verdict", verdict}}}}.dump();
    }
    if (answer.kind == ClientAnswer::Kind::Gathered) {
        out.headers[names_.partSignatures] = joined(answer.signatures);
        if (answer.missing > 0) {
            out.headers[names_.missingParts] = std::to_string(answer.missing);
        }
    }
    if (answer.retryAfter > Duration{0}) {
        out.headers["Retry-After"] = seconds(answer.retryAfter);
    }
    return out;
}

void ClientDoor::note(const ClientRequest &request, const Route *route, const ClientAnswer &answer, Duration took)
{
    const bool well = answer.kind == ClientAnswer::Kind::Passed || answer.kind == ClientAnswer::Kind::Gathered;
    metrics_.answered(route == nullptr ? std::string() : route->name, kindName(answer.kind), took, answer.missing);
    log_.write(well && answer.missing == 0 ? DecisionWeight::Routine : DecisionWeight::Trouble,
               "request.answered",
               {{"request", request.id},
                {"route", route == nullptr ? std::string_view("none") : std::string_view(route->name)},
                {"config", version_},
                {"outcome", kindName(answer.kind)},
                {"status", static_cast<std::int64_t>(answer.status)},
                {"parts", static_cast<std::int64_t>(answer.signatures.size())},
                {"missing", static_cast<std::int64_t>(answer.missing)},
                {"patienceMs", request.clientTimeout ? request.clientTimeout->count() / 1000 : -1},
                {"retryAfterMs", answer.retryAfter.count() / 1000},
                {"tookUs", took.count()},
                {"reason", answer.reason}});
}

void ClientDoor::serve(HttpServerRequest incoming, const std::shared_ptr<HttpResponder> &responder)
{
    if (incoming.target.empty() || incoming.target.front() != '/') {
        responder->respond(write(refusal(AnswerStatus::BadRequest, "the request target must be a path")));
        return;
    }
    ClientRequest request = read(std::move(incoming));
    // For the log only: the desk takes the request itself.
    ClientRequest head;
    head.id = request.id;
    head.clientTimeout = request.clientTimeout;
    const TimePoint arrived = request.arrived;
    const ServedRequestId id = desk_.serve(std::move(request), [this, responder, head, arrived](const Route *route, const ClientAnswer &answer) {
        note(head, route, answer, runtime_.now() - arrived);
        responder->respond(write(answer));
    });
    responder->setDisconnectHandler([this, id, requestId = head.id] {
        desk_.onClientDisconnected(id);
        metrics_.clientLeft();
        log_.write(DecisionWeight::Trouble, "request.abandoned", {{"request", requestId}, {"reason", "the client closed its connection"}});
    });
}

} // namespace Burdock
