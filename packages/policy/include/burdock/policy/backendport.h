#pragma once

#include <burdock/values/subrequest.h>

#include <functional>

namespace Burdock
{

/// The reply to one request to one backend server.
struct BackendReply
{
    /// The reply to forward to the entry instance; the holder fills in its `report`.
    SubReply reply;
    /// The server announced that it is shutting down.
    bool draining = false;
    /// The server refused the request because it has no free slot.
    bool shed = false;
    /// The index versions that the server reported.
    std::vector<std::pair<IndexName, VersionWindow>> versions;
};

/// The holder's interface to backend servers. Only the holder limits how many requests a server receives.
class BackendPort
{
public:
    virtual ~BackendPort() = default;

    using Callback = std::function<void(const BackendReply &)>;

    /// Sends the request to the server `request.server`; `budget` is the time left until the deadline.
    /// `done` is called once, never from within `dispatch`, unless the request is cancelled first.
    virtual void dispatch(const SubRequest &request, Duration budget, Callback done) = 0;

    /// Cancels a request and notifies the server; its callback is no longer called.
    virtual void cancel(const SubRequestId &id) = 0;
};

} // namespace Burdock
