#pragma once

#include <burdock/policy/backendport.h>
#include <burdock/values/place.h>
#include <burdock/wire/httpclient.h>

#include <functional>
#include <map>
#include <optional>

namespace Burdock
{

/// Counters of a BackendAdapter since process start.
struct BackendCounters
{
    std::uint64_t requests = 0;
    std::uint64_t malformed = 0;
    std::uint64_t lost = 0;
    std::uint64_t cancels = 0;
    std::uint64_t lateReplies = 0;
};

/// Sends the holder's sub-requests to backend servers over HTTP.
///
/// Cancelling a request keeps its connection open: the server is notified by `POST /cancel`, and its late reply is dropped.
class BackendAdapter final : public BackendPort
{
public:
    /// Returns the address of a server, or nothing if the server is not in the instance list.
    using FindServer = std::function<std::optional<Address>(const ServerId &server)>;

    /// Called for every response, with its server, whether the server reported that it is draining, and the dispatch time.
    using ReplyHandler = std::function<void(const ServerId &server, bool draining, TimePoint dispatched)>;

    BackendAdapter(Runtime &runtime, HttpClient &client, FindServer find);

    /// Returns whether a request may be sent to its server now.
    using DispatchFilter = std::function<bool(const SubRequest &request)>;

    /// Sets the dispatch filter. A request that it rejects fails with Draining and NotRun, as if its server were leaving.
    void setDispatchFilter(DispatchFilter filter);

    /// Sets the handler that is called for every response.
    void setReplyHandler(ReplyHandler handler);

    void dispatch(const SubRequest &request, Duration budget, Callback done) override;
    void cancel(const SubRequestId &id) override;

    const BackendCounters &counters() const;

private:
    struct Call
    {
        Callback done;
        Address server;
        TimePoint dispatched;
        bool cancelled = false;
    };

    void refuse(const SubRequest &request, const Failure &failure, Callback done);
    void onResponse(const SubRequest &request, const Result<HttpResponse> &response);

    Runtime &runtime_;
    HttpClient &client_;
    FindServer findServer_;
    DispatchFilter dispatchFilter_;
    ReplyHandler replyHandler_;
    std::map<SubRequestId, Call> calls_;
    BackendCounters counters_;
};

} // namespace Burdock
