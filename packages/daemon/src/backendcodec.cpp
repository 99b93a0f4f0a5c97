#include <burdock/daemon/backendcodec.h>
#include <burdock/wire/json.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace Burdock
{

namespace
{

using nlohmann::json;

constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;
constexpr int StatusTimeout = 504;

bool hasFlagHeader(const HttpResponse &response, const std::string &name)
{
    const auto found = response.headers.find(name);
    return found != response.headers.end() && found->second == "1";
}

void readVersions(const json &body, BackendReply &reply)
{
    const auto versions = body.find("versions");
    if (versions == body.end()) {
        return;
    }
    for (const auto &[name, window] : versions->items()) {
        const VersionWindow available{window.at("oldest").get<std::uint64_t>(), window.at("newest").get<std::uint64_t>()};
        reply.versions.emplace_back(IndexName(name), available);
    }
}

void readSearch(const json &body, SubReply &reply)
{
    reply.snapshot.index = IndexName(body.at("index").get<std::string>());
    reply.snapshot.version = body.at("version").get<std::uint64_t>();
    reply.snapshot.mapGeneration = body.at("mapGeneration").get<std::uint64_t>();
    reply.shard = ShardId(body.at("shard").get<std::string>());
    reply.range = KeyRange{body.at("begin").get<std::uint64_t>(), body.at("end").get<std::uint64_t>()};
    reply.total = body.at("total").get<std::uint64_t>();
    for (const json &hit : body.at("hits")) {
        reply.hits.push_back(Hit{hit.at("id").get<std::string>(), hit.at("score").get<double>(), hit.at("body").get<std::string>()});
    }
}

void readAnswer(const SubRequest &request, const std::string &text, BackendReply &reply)
{
    const json body = json::parse(text);
    if (body.at("requestId").get<std::string>() != formatRequestId(request.id)) {
        reply = backendFailure(request, Failure{Errc::ConnectionLost, Verdict::MayHaveRun, "the server answered another request"});
        return;
    }
    reply.reply.code = Errc::Ok;
    reply.reply.verdict = Verdict::Ran;
    if (request.kind == SubRequestKind::Search) {
        readSearch(body, reply.reply);
        readVersions(body, reply);
    } else {
        reply.reply.outcome = body.at("outcome").get<std::string>();
    }
}

void setFailure(BackendReply &reply, Errc code, Verdict verdict, std::string message)
{
    reply.reply.code = code;
    reply.reply.verdict = verdict;
    reply.reply.message = std::move(message);
}

void readRefusal(const HttpResponse &response, BackendReply &reply)
{
    const bool markedNotRun = hasFlagHeader(response, "x-not-run");
    if (response.status == StatusConflict) {
        const json body = json::parse(response.body);
        readVersions(body, reply);
        const bool wrongShard = body.at("error").get<std::string>() == "wrongShard";
        setFailure(reply, wrongShard ? Errc::WrongShard : Errc::WrongVersion, Verdict::NotRun, "the server does not hold what was named");
    } else if (response.status == StatusTooManyRequests && markedNotRun) {
        reply.shed = true;
        setFailure(reply, Errc::Overloaded, Verdict::NotRun, "the server has no free slot");
    } else if (response.status == StatusUnavailable && markedNotRun) {
        reply.draining = true;
        setFailure(reply, Errc::Draining, Verdict::NotRun, "the server is leaving");
    } else if (response.status == StatusTimeout && markedNotRun) {
        setFailure(reply, Errc::DeadlineExceeded, Verdict::NotRun, "the deadline was past when the server read the request");
    } else {
        setFailure(reply, Errc::Internal, Verdict::MayHaveRun, "the server answered with status " + std::to_string(response.status));
    }
}

} // namespace

std::string formatRequestId(const SubRequestId &id)
{
    return id.entry.text() + "/" + std::to_string(id.incarnation) + "/" + std::to_string(id.number);
}

HttpRequest encodeBackendRequest(const SubRequest &request, const Address &server, Duration budget)
{
    HttpRequest http;
    http.address = server;
    http.method = "POST";
    http.timeout = budget;
    http.headers = {{"X-Request-Id", formatRequestId(request.id)},
                    {"X-Deadline-Ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(budget).count())},
                    {"X-Rank", std::string(rankName(request.rank))},
                    {"X-Caller", request.caller.text()},
                    {"Content-Type", "application/json"}};
    if (request.kind == SubRequestKind::Command) {
        http.path = "/execute";
        http.body = writeJson(json{{"command", request.command.text()}, {"key", request.key}, {"payload", request.text}});
        return http;
    }
    http.path = "/search";
    http.body = writeJson(json{{"index", request.snapshot.index.text()},
                               {"version", request.snapshot.version},
                               {"mapGeneration", request.snapshot.mapGeneration},
                               {"shard", request.shard.text()},
                               {"begin", request.range.begin},
                               {"end", request.range.end},
                               {"query", request.text},
                               {"offset", request.offset},
                               {"limit", request.limit}});
    return http;
}

BackendReply decodeBackendResponse(const SubRequest &request, const HttpResponse &response)
{
    BackendReply reply;
    reply.reply.id = request.id;
    reply.draining = hasFlagHeader(response, "x-draining");
    try {
        if (response.status == StatusOk) {
            readAnswer(request, response.body, reply);
        } else {
            readRefusal(response, reply);
        }
    } catch (const json::exception &) {
        reply = backendFailure(request, Failure{Errc::ConnectionLost, Verdict::MayHaveRun, "the server's answer is malformed"});
    }
    return reply;
}

BackendReply backendFailure(const SubRequest &request, const Failure &failure)
{
    BackendReply reply;
    reply.reply.id = request.id;
    reply.reply.retryAfter = failure.retryAfter;
    setFailure(reply, failure.code, failure.verdict, failure.message);
    return reply;
}

} // namespace Burdock
