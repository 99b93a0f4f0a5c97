#include <burdock/daemon/callerjson.h>
#include <burdock/wire/json.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace Burdock
{

namespace
{

using nlohmann::json;

constexpr std::int64_t MaxDeadlineMs = std::int64_t{3600} * 1000;
constexpr std::size_t MaxNameBytes = 256;

/// Reads the fields of a JSON body and remembers the first fault.
class BodyReader
{
public:
    explicit BodyReader(const std::string &text)
        : body_(json::parse(text, nullptr, false))
    {
        if (!body_.is_object()) {
            recordFault("the body must be a JSON object");
        }
    }

    std::string text(const char *field, bool required, std::size_t maxBytes)
    {
        const auto found = find(field, required);
        if (found == body_.end()) {
            return {};
        }
        if (!found->is_string() || found->get_ref<const std::string &>().size() > maxBytes) {
            recordFault(std::string("'") + field + "' must be a string of at most " + std::to_string(maxBytes) + " bytes");
            return {};
        }
        return found->get<std::string>();
    }

    std::optional<std::int64_t> number(const char *field, bool required, std::int64_t min, std::int64_t max)
    {
        const auto found = find(field, required);
        if (found == body_.end()) {
            return std::nullopt;
        }
        const bool fits = found->is_number_integer() && !(found->is_number_unsigned() && found->get<std::uint64_t>() > static_cast<std::uint64_t>(max));
        if (!fits || found->get<std::int64_t>() < min || found->get<std::int64_t>() > max) {
            recordFault(std::string("'") + field + "' must be a whole number from " + std::to_string(min) + " to " + std::to_string(max));
            return std::nullopt;
        }
        return found->get<std::int64_t>();
    }

    void recordFault(std::string message)
    {
        if (fault_.empty()) {
            fault_ = std::move(message);
        }
    }

    const std::string &firstFault() const
    {
        return fault_;
    }

private:
    json::const_iterator find(const char *field, bool required)
    {
        if (!body_.is_object()) {
            return body_.end();
        }
        const auto found = body_.find(field);
        if (found == body_.end() && required) {
            recordFault(std::string("'") + field + "' is missing");
        }
        return found;
    }

    json body_;
    std::string fault_;
};

std::string headerOf(const HttpServerRequest &request, const std::string &name)
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string() : found->second;
}

Result<CallerId> readCaller(const HttpServerRequest &request)
{
    const std::string caller = headerOf(request, "x-caller");
    if (caller.empty() || caller.size() > MaxNameBytes) {
        return notRun(Errc::UnknownCaller, "name the caller in the header X-Caller");
    }
    return CallerId(caller);
}

std::optional<Duration> readDeadline(BodyReader &body)
{
    const auto milliseconds = body.number("deadlineMs", false, -MaxDeadlineMs, MaxDeadlineMs);
    return milliseconds ? std::optional<Duration>(std::chrono::milliseconds(*milliseconds)) : std::nullopt;
}

HttpServerResponse jsonResponse(int status, const json &body)
{
    return HttpServerResponse{status, {{"Content-Type", "application/json"}}, writeJson(body)};
}

int httpStatusOf(Errc code)
{
    switch (code) {
    case Errc::Ok:
        return 200;
    case Errc::BadRequest:
        return 400;
    case Errc::UnknownCaller:
        return 401;
    case Errc::NotAllowed:
        return 403;
    case Errc::NotFound:
        return 404;
    case Errc::Conflict:
    case Errc::ClaimedElsewhere:
        return 409;
    case Errc::KeyExpired:
        return 410;
    case Errc::TooLarge:
        return 413;
    case Errc::Overloaded:
        return 429;
    case Errc::ConnectionLost:
        return 502;
    case Errc::Unavailable:
    case Errc::Draining:
    case Errc::NotReady:
    case Errc::WrongVersion:
    case Errc::WrongShard:
        return 503;
    case Errc::DeadlineExceeded:
    case Errc::CoverageTooLow:
        return 504;
    case Errc::Cancelled:
    case Errc::Internal:
        break;
    }
    return 500;
}

double milliseconds(Duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace

Result<Query> readQuery(const HttpServerRequest &request)
{
    const Result<CallerId> caller = readCaller(request);
    if (!caller) {
        return tl::make_unexpected(caller.error());
    }
    BodyReader body(request.body);
    Query query;
    query.caller = *caller;
    query.index = IndexName(body.text("index", true, MaxNameBytes));
    query.text = body.text("query", true, QueryLimits{}.maxTextBytes);
    query.limit = static_cast<std::uint32_t>(body.number("limit", true, 1, QueryLimits{}.maxHits).value_or(0));
    query.deadline = readDeadline(body);
    if (!body.firstFault().empty()) {
        return notRun(Errc::BadRequest, body.firstFault());
    }
    return query;
}

Result<CommandRequest> readCommand(const HttpServerRequest &request)
{
    const Result<CallerId> caller = readCaller(request);
    if (!caller) {
        return tl::make_unexpected(caller.error());
    }
    BodyReader body(request.body);
    CommandRequest command;
    command.caller = *caller;
    command.command = CommandName(body.text("command", true, MaxNameBytes));
    command.payload = body.text("payload", true, std::size_t{64} * 1024);
    command.deadline = readDeadline(body);
    command.key = headerOf(request, "idempotency-key");
    if (command.key.size() > MaxNameBytes) {
        body.recordFault("the header Idempotency-Key is longer than " + std::to_string(MaxNameBytes) + " bytes");
    }
    // The key is passed on as JSON, which cannot hold other bytes.
    if (!std::all_of(command.key.begin(), command.key.end(), [](char letter) { return letter > ' ' && letter <= '~'; })) {
        body.recordFault("the header Idempotency-Key may hold visible ASCII characters only");
    }
    if (!body.firstFault().empty()) {
        return notRun(Errc::BadRequest, body.firstFault());
    }
    return command;
}

HttpServerResponse writeAnswer(const std::string &requestId, const QueryAnswer &answer)
{
    json missing = json::array();
    for (const ShardId &shard : answer.coverage.missing) {
        missing.push_back(shard.text());
    }
    json hits = json::array();
    for (const Hit &hit : answer.hits) {
        hits.push_back({{"id", hit.id}, {"score", hit.score}, {"body", hit.body}});
    }
    const SnapshotId &snapshot = answer.snapshot;
    return jsonResponse(
        200,
        {{"requestId", requestId},
         {"snapshot", {{"index", snapshot.index.text()}, {"version", snapshot.version}, {"mapGeneration", snapshot.mapGeneration}}},
         {"coverage", {{"fraction", answer.coverage.fraction()}, {"answeredKeys", answer.coverage.answeredKeys}, {"missing", std::move(missing)}}},
         {"hits", std::move(hits)},
         {"tookMs", milliseconds(answer.took)}});
}

HttpServerResponse writeOutcome(const std::string &requestId, const std::string &outcome, bool replayed)
{
    return jsonResponse(200, {{"requestId", requestId}, {"outcome", outcome}, {"verdict", verdictName(Verdict::Ran)}, {"replayed", replayed}});
}

HttpServerResponse writeFailure(const Failure &failure)
{
    json error{{"code", errcName(failure.code)}, {"message", failure.message}, {"verdict", verdictName(failure.verdict)}};
    HttpServerResponse response;
    if (failure.retryAfter > Duration{0}) {
        error["retryAfterMs"] = milliseconds(failure.retryAfter);
    }
    response = jsonResponse(httpStatusOf(failure.code), {{"error", std::move(error)}});
    if (failure.retryAfter > Duration{0}) {
        response.headers["Retry-After"] = std::to_string(static_cast<std::int64_t>(std::ceil(milliseconds(failure.retryAfter) / 1000)));
    }
    return response;
}

HttpServerResponse writeEntries(const std::vector<ListedInstance> &entries, Duration maxAge)
{
    json list = json::array();
    for (const ListedInstance &entry : entries) {
        list.push_back({{"address", entry.callers.toString()},
                        {"instance", entry.id.text()},
                        {"dataCentre", entry.place.dataCentre.text()},
                        {"region", entry.place.region.text()}});
    }
    const double seconds = milliseconds(maxAge) / 1000;
    HttpServerResponse response = jsonResponse(200, {{"entries", std::move(list)}, {"maxAgeSeconds", seconds}});
    response.headers["Cache-Control"] = "max-age=" + std::to_string(static_cast<std::int64_t>(seconds));
    return response;
}

} // namespace Burdock
