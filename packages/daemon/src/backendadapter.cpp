#include <burdock/daemon/backendadapter.h>

#include <burdock/daemon/backendcodec.h>
#include <burdock/wire/json.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace Burdock
{

namespace
{
constexpr Duration CancelTimeout = std::chrono::milliseconds(500);
}

BackendAdapter::BackendAdapter(Runtime &runtime, HttpClient &client, FindServer find)
    : runtime_(runtime)
    , client_(client)
    , findServer_(std::move(find))
{
}

void BackendAdapter::dispatch(const SubRequest &request, Duration budget, Callback done)
{
    const std::optional<Address> server = findServer_(request.server);
    if (!server) {
        refuse(request, Failure{Errc::Unavailable, Verdict::NotRun, "server '" + request.server.text() + "' is not in the instance list"}, std::move(done));
        return;
    }
    if (dispatchFilter_ && !dispatchFilter_(request)) {
        refuse(request, Failure{Errc::Draining, Verdict::NotRun, "server '" + request.server.text() + "' is leaving"}, std::move(done));
        return;
    }
    ++counters_.requests;
    calls_[request.id] = Call{std::move(done), *server, runtime_.now(), false};
    client_.send(encodeBackendRequest(request, *server, budget), [this, request](const Result<HttpResponse> &response) { onResponse(request, response); });
}

void BackendAdapter::setReplyHandler(ReplyHandler handler)
{
    replyHandler_ = std::move(handler);
}

void BackendAdapter::setDispatchFilter(DispatchFilter filter)
{
    dispatchFilter_ = std::move(filter);
}

void BackendAdapter::refuse(const SubRequest &request, const Failure &failure, Callback done)
{
    runtime_.schedule(Duration{0}, [reply = backendFailure(request, failure), done = std::move(done)] { done(reply); });
}

void BackendAdapter::onResponse(const SubRequest &request, const Result<HttpResponse> &response)
{
    const auto node = calls_.extract(request.id);
    if (!node.empty() && response && replyHandler_) {
        const auto draining = response->headers.find("x-draining");
        replyHandler_(request.server, draining != response->headers.end() && draining->second == "1", node.mapped().dispatched);
    }
    if (node.empty() || node.mapped().cancelled) {
        ++counters_.lateReplies;
        return;
    }
    counters_.lost += response ? 0 : 1;
    const BackendReply reply = response ? decodeBackendResponse(request, *response) : backendFailure(request, response.error());
    counters_.malformed += response && reply.reply.code == Errc::ConnectionLost ? 1 : 0;
    node.mapped().done(reply);
}

void BackendAdapter::cancel(const SubRequestId &id)
{
    const auto found = calls_.find(id);
    if (found == calls_.end() || found->second.cancelled) {
        return;
    }
    ++counters_.cancels;
    found->second.cancelled = true;
    HttpRequest request;
    request.address = found->second.server;
    request.method = "POST";
    request.path = "/cancel";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = writeJson(nlohmann::json{{"requestId", formatRequestId(id)}});
    request.timeout = CancelTimeout;
    client_.send(std::move(request), [](const Result<HttpResponse> &) {});
}

const BackendCounters &BackendAdapter::counters() const
{
    return counters_;
}

} // namespace Burdock
