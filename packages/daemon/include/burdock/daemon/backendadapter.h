#pragma once

#include <burdock/policy/backendport.h>
#include <burdock/values/place.h>
#include <burdock/wire/httpclient.h>

#include <functional>
#include <map>
#include <optional>

namespace Burdock
{

/// What the adapter has counted since the start.
struct BackendCounters
{
    std::uint64_t requests = 0;
    std::uint64_t malformed = 0;
    std::uint64_t lost = 0;
    std::uint64_t cancels = 0;
    std::uint64_t lateReplies = 0;
};

/// The holder's way to backend servers over HTTP.
///
/// A cancelled request keeps its connection: the server is told by `POST /cancel` and its late reply is dropped.
class BackendAdapter final : public BackendPort
{
public:
    /// Gives the address of a server, nothing where it is not listed.
    using FindServer = std::function<std::optional<Address>(const ServerId &server)>;

    /// Told of every response: from which server, whether it says that it is leaving, and when it was asked.
    using ReplyHandler = std::function<void(const ServerId &server, bool draining, TimePoint dispatched)>;

    BackendAdapter(Runtime &runtime, HttpClient &client, FindServer find);

    /// Says whether a request may go to its server now.
    using DispatchFilter = std::function<bool(const SubRequest &request)>;

    /// Sets the gate; what it holds back is refused as not run, as from a leaving server.
    void setDispatchFilter(DispatchFilter filter);

    /// Sets who is told of responses.
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
