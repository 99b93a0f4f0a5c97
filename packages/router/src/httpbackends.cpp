#include <burdock/router/httpbackends.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace Burdock
{

namespace
{

constexpr int MisdirectedRequest = 421;
constexpr int UnavailableStatus = 503;
constexpr const char *Yes = "1";
constexpr const char *RetryAfter = "retry-after";
/// A server that asks for more is asked again after this time.
constexpr Duration MaxPause = std::chrono::hours(1);
/// The numbers of running requests, waiting requests and slots are always told, the pace sometimes.
constexpr std::size_t LoadFigures = 3;
constexpr double UsualPacePercent = 100;
constexpr double MaxLoadFigure = 1e6;
constexpr std::array<const char *, 11> ConnectionHeaders{"connection",
                                                         "content-length",
                                                         "expect",
                                                         "keep-alive",
                                                         "proxy-authenticate",
                                                         "proxy-authorization",
                                                         "proxy-connection",
                                                         "te",
                                                         "trailer",
                                                         "transfer-encoding",
                                                         "upgrade"};

/// Splits a comma-separated header value into its items, in lower case.
std::vector<std::string> splitList(const std::string &value)
{
    std::vector<std::string> items(1);
    for (const char character : value) {
        if (character == ',') {
            items.emplace_back();
        } else if (character != ' ' && character != '\t') {
            items.back() += static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
        }
    }
    return items;
}

std::string valueOf(const std::map<std::string, std::string> &headers, const std::string &name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

/// Whether the response says that its sender did not run the request.
bool isRefusal(const HeaderNames &names, const HttpResponse &response)
{
    return response.status == MisdirectedRequest || response.headers.count(names.notRun) > 0;
}

} // namespace

void removeConnectionHeaders(std::map<std::string, std::string> &headers)
{
    for (const std::string &item : splitList(valueOf(headers, "connection"))) {
        headers.erase(item);
    }
    for (const char *name : ConnectionHeaders) {
        headers.erase(name);
    }
}

HttpBackends::HttpBackends(Runtime &runtime, HttpClient &client, HeaderNames names, HintsHandler onHints, DecisionLog &log)
    : runtime_(runtime)
    , client_(client)
    , names_(std::move(names))
    , onHints_(std::move(onHints))
    , log_(log)
{
}

BackendRequestId HttpBackends::send(const ServerHandle &server, const std::shared_ptr<const ClientRequest> &request, TimePoint deadline, Callback done)
{
    const Duration left = std::max(deadline - runtime_.now(), Duration{0});
    HttpRequest out;
    out.address = server->address;
    out.method = request->method;
    out.path = request->target;
    out.headers = request->headers;
    out.headers[names_.timeLeft] = std::to_string(left / std::chrono::milliseconds(1));
    out.headers[names_.targetServer] = server->id.text();
    if (!request->workspace.empty()) {
        out.headers[names_.workspace] = request->workspace;
    }
    out.body = request->body;
    out.timeout = left;
    out.isReplyToRequest = [names = &names_, request](const HttpResponse &response) { return answersRequest(*names, request->id, response); };
    return client_.send(std::move(out), [this, server, done = std::move(done)](Result<HttpResponse> response) {
        if (response) {
            noteHints(*server, *response);
        }
        done(interpretResponse(names_, *server, std::move(response)));
    });
}

bool HttpBackends::answersRequest(const HeaderNames &names, const std::string &requestId, const HttpResponse &response)
{
    const std::array<const char *, 7> deciding{names.requestId.c_str(),
                                               names.signature.c_str(),
                                               names.notRun.c_str(),
                                               names.answeringServer.c_str(),
                                               names.serverLimit.c_str(),
                                               names.serverLeaving.c_str(),
                                               RetryAfter};
    const bool isAmbiguous = std::any_of(deciding.begin(), deciding.end(), [&response](const char *name) { return response.repeatedHeaders.count(name) > 0; });
    if (isAmbiguous) {
        return false;
    }
    const auto echoed = response.headers.find(names.requestId);
    if (echoed != response.headers.end()) {
        return echoed->second == requestId;
    }
    // A success without an id still has a signature, but a refusal could be one of an earlier request.
    return requestId.empty() || !isRefusal(names, response);
}

void HttpBackends::cancel(BackendRequestId id)
{
    client_.cancel(id);
}

bool HttpBackends::hasRoom(std::size_t requests) const
{
    return client_.hasRoom(requests);
}

Result<std::optional<double>> HttpBackends::readLimit(const HeaderNames &names, const HttpResponse &response)
{
    const std::string text = valueOf(response.headers, names.serverLimit);
    if (text.empty()) {
        return std::optional<double>();
    }
    double limit = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), limit);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(limit) || limit < 0) {
        return notRun(Errc::BadRequest, "the limit '" + text + "' is no number from zero up");
    }
    return std::optional<double>(limit);
}

Result<std::optional<Duration>> HttpBackends::readPause(const HttpResponse &response)
{
    const std::string text = valueOf(response.headers, RetryAfter);
    if (response.status != UnavailableStatus || text.empty()) {
        return std::optional<Duration>();
    }
    double seconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(seconds) || seconds < 0) {
        return notRun(Errc::BadRequest, "the time '" + text + "' is no number of seconds from zero up");
    }
    const std::chrono::duration<double> pause(std::min(seconds, std::chrono::duration<double>(MaxPause).count()));
    return std::optional(std::chrono::duration_cast<Duration>(pause));
}

Result<std::optional<ToldLoad>> HttpBackends::readLoad(const HeaderNames &names, const HttpResponse &response)
{
    const std::string text = valueOf(response.headers, names.serverLoad);
    if (text.empty()) {
        return std::optional<ToldLoad>();
    }
    std::vector<double> figures;
    for (const std::string &item : splitList(text)) {
        double figure = 0;
        const auto [end, error] = std::from_chars(item.data(), item.data() + item.size(), figure);
        if (error != std::errc() || end != item.data() + item.size() || !(figure >= 0 && figure <= MaxLoadFigure)) {
            return notRun(Errc::BadRequest, "the load '" + text + "' is no list of numbers from zero up");
        }
        figures.push_back(figure);
    }
    if (figures.size() < LoadFigures || figures.size() > LoadFigures + 1 || figures[2] < 1) {
        return notRun(Errc::BadRequest, "the load '" + text + "' has not three or four figures, or no slots");
    }
    const double pace = figures.size() > LoadFigures ? figures[LoadFigures] / UsualPacePercent : 1;
    return std::optional(
        ToldLoad{static_cast<std::uint32_t>(figures[0]), static_cast<std::uint32_t>(figures[1]), static_cast<std::uint32_t>(figures[2]), pace > 0 ? pace : 1});
}

void HttpBackends::logSkipped(const ServerEntry &server, const Failure &failure)
{
    log_.write(DecisionPriority::Problem, "hint.skipped", {{"server", server.id.text()}, {"reason", failure.message}});
}

void HttpBackends::noteHints(const ServerEntry &server, const HttpResponse &response)
{
    if (response.status == MisdirectedRequest) {
        // Another server has answered.
        return;
    }
    ServerHints hints;
    hints.leaving = valueOf(response.headers, names_.serverLeaving) == Yes;
    const auto pause = readPause(response);
    if (pause) {
        hints.pause = *pause;
    } else {
        logSkipped(server, pause.error());
    }
    const auto limit = readLimit(names_, response);
    if (limit) {
        hints.limit = *limit;
    } else {
        hints.limitKnown = false;
        logSkipped(server, limit.error());
    }
    const auto load = readLoad(names_, response);
    if (load) {
        hints.load = *load;
    } else {
        logSkipped(server, load.error());
    }
    onHints_(server, hints);
}

Result<ServerReply> HttpBackends::interpretResponse(const HeaderNames &names, const ServerEntry &server, Result<HttpResponse> response)
{
    if (!response) {
        return tl::make_unexpected(response.error());
    }
    if (response->status == MisdirectedRequest) {
        return notRun(Errc::NotFound, "another server has the address: " + valueOf(response->headers, names.answeringServer));
    }
    if (isRefusal(names, *response)) {
        return notRun(Errc::Overloaded, "the server did not run it, status " + std::to_string(response->status));
    }
    ServerReply reply;
    reply.status = response->status;
    reply.signature = valueOf(response->headers, names.signature);
    if (response->headers.count("content-encoding") > 0) {
        return mayHaveRun(Errc::ConnectionLost, "the body is encoded, and so is not the server's, " + server.address.toString());
    }
    if (reply.succeeded() && reply.signature.empty()) {
        return mayHaveRun(Errc::ConnectionLost, "a success without a signature, " + server.address.toString());
    }
    reply.headers = std::move(response->headers);
    removeConnectionHeaders(reply.headers);
    reply.body = std::move(response->body);
    return reply;
}

} // namespace Burdock
