#include <burdock/daemon/callerjson.h>

#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace Burdock
{

namespace
{

using nlohmann::json;

constexpr std::int64_t LongestDeadlineMs = std::int64_t{3600} * 1000;
constexpr std::size_t LongestName = 256;

/// Reads the fields of one body and collects the first fault.
class BodyReader
{
public:
    explicit BodyReader(const std::string &text)
        : body_(json::parse(text, nullptr, false))
    {
        if (!body_.is_object()) {
            fault("the body must be a JSON object");
        }
    }

    std::string text(const char *field, bool needed, std::size_t most)
    {
        const auto found = find(field, needed);
        if (found == body_.end()) {
            return {};
        }
        if (!found->is_string() || found->get_ref<const std::string &>().size() > most) {
            fault(std::string("'") + field + "' must be a string of at most " + std::to_string(most) + " bytes");
            return {};
        }
        return found->get<std::string>();
    }

    std::optional<std::int64_t> number(const char *field, bool needed, std::int64_t least, std::int64_t most)
    {
        const auto found = find(field, needed);
        if (found == body_.end()) {
            return std::nullopt;
        }
        const bool fits = found->is_number_integer() && !(found->is_number_unsigned() && found->get<std::uint64_t>() > static_cast<std::uint64_t>(most));
        if (!fits || found->get<std::int64_t>() < least || found->get<std::int64_t>() > most) {
            fault(std::string("'") + field + "' must be a whole number from " + std::to_string(least) + " to " + std::to_string(most));
            return std::nullopt;
        }
        return found->get<std::int64_t>();
    }

    void fault(std::string message)
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
    json::const_iterator find(const char *field, bool needed)
    {
        if (!body_.is_object()) {
            return body_.end();
        }
        const auto found = body_.find(field);
        if (found == body_.end() && needed) {
            fault(std::string("'") + field + "' is missing");
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
    if (caller.empty() || caller.size() > LongestName) {
        return notRun(Errc::UnknownCaller, "name the caller in the header X-Caller");
    }
    return CallerId(caller);
}

std::optional<Duration> readDeadline(BodyReader &body)
{
    const auto milliseconds = body.number("deadlineMs", false, -LongestDeadlineMs, LongestDeadlineMs);
    return milliseconds ? std::optional<Duration>(std::chrono::milliseconds(*milliseconds)) : std::nullopt;
}

HttpServerResponse jsonAnswer(int status, const json &body)
{
    return HttpServerResponse{status, {{"Content-Type", "application/json"}}, body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

int statusOf(Errc code)
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
    query.index = IndexName(body.text("index", true, LongestName));
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
    CommandRequest ask;
    ask.caller = *caller;
    ask.command = CommandName(body.text("command", true, LongestName));
    ask.payload = body.text("payload", true, std::size_t{64} * 1024);
    ask.deadline = readDeadline(body);
    ask.key = headerOf(request, "idempotency-key");
    if (ask.key.size() > LongestName) {
        body.fault("the header Idempotency-Key is longer than " + std::to_string(LongestName) + " bytes");
    }
    if (!body.firstFault().empty()) {
        return notRun(Errc::BadRequest, body.firstFault());
    }
    return ask;
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
    return jsonAnswer(
        200,
        {{"requestId", requestId},
         {"snapshot", {{"index", snapshot.index.text()}, {"version", snapshot.version}, {"mapGeneration", snapshot.mapGeneration}}},
         {"coverage", {{"fraction", answer.coverage.fraction()}, {"answeredKeys", answer.coverage.answeredKeys}, {"missing", std::move(missing)}}},
         {"hits", std::move(hits)},
         {"tookMs", milliseconds(answer.took)}});
}

HttpServerResponse writeOutcome(const std::string &requestId, const std::string &outcome, bool replayed)
{
    return jsonAnswer(200, {{"requestId", requestId}, {"outcome", outcome}, {"verdict", verdictName(Verdict::Ran)}, {"replayed", replayed}});
}

HttpServerResponse writeFailure(const Failure &failure)
{
    json error{{"code", errcName(failure.code)}, {"message", failure.message}, {"verdict", verdictName(failure.verdict)}};
    HttpServerResponse answer;
    if (failure.retryAfter > Duration{0}) {
        error["retryAfterMs"] = milliseconds(failure.retryAfter);
    }
    answer = jsonAnswer(statusOf(failure.code), {{"error", std::move(error)}});
    if (failure.retryAfter > Duration{0}) {
        answer.headers["Retry-After"] = std::to_string(static_cast<std::int64_t>(std::ceil(milliseconds(failure.retryAfter) / 1000)));
    }
    return answer;
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
    HttpServerResponse answer = jsonAnswer(200, {{"entries", std::move(list)}, {"maxAgeSeconds", seconds}});
    answer.headers["Cache-Control"] = "max-age=" + std::to_string(static_cast<std::int64_t>(seconds));
    return answer;
}

} // namespace Burdock
