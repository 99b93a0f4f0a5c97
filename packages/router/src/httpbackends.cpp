#include <burdock/router/httpbackends.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Burdock
{

namespace
{

constexpr int MisdirectedRequest = 421;
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

HttpBackends::HttpBackends(Runtime &runtime, HttpClient &client, HeaderNames names)
    : runtime_(runtime)
    , client_(client)
    , names_(std::move(names))
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
    out.body = request->body;
    out.timeout = left;
    out.isReplyToRequest = [names = &names_, request](const HttpResponse &response) {
        const auto echoed = response.headers.find(names->requestId);
        return echoed == response.headers.end() || echoed->second == request->id;
    };
    return client_.send(std::move(out), [this, server, done = std::move(done)](Result<HttpResponse> response) {
        done(interpretResponse(names_, *server, std::move(response)));
    });
}

void HttpBackends::cancel(BackendRequestId id)
{
    client_.cancel(id);
}

Result<ServerReply> HttpBackends::interpretResponse(const HeaderNames &names, const ServerEntry &server, Result<HttpResponse> response)
{
    if (!response) {
        return tl::make_unexpected(response.error());
    }
    if (response->status == MisdirectedRequest) {
        return notRun(Errc::Unavailable, "another server has the address: " + valueOf(response->headers, names.answeringServer));
    }
    if (response->headers.count(names.notRun) > 0) {
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
