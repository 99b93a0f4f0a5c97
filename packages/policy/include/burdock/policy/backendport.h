#pragma once

#include <burdock/values/subrequest.h>

#include <functional>

namespace Burdock
{

/// What came back from one request to one backend server.
struct BackendReply
{
    /// The reply for the entry; its `report` is filled in by the holder.
    SubReply reply;
    /// The server said that it is leaving.
    bool draining = false;
    /// The server refused for lack of a free slot.
    bool shed = false;
    /// The versions that the server told of.
    std::vector<std::pair<IndexName, VersionWindow>> versions;
};

/// The holder's way to backend servers. The holder alone decides how many requests a server gets.
class BackendPort
{
public:
    virtual ~BackendPort() = default;

    using Callback = std::function<void(const BackendReply &)>;

    /// Dispatches to the server that `request.server` names, with `budget` left of the deadline.
    /// `done` is called once, never from within `dispatch`, unless the request is cancelled first.
    virtual void dispatch(const SubRequest &request, Duration budget, Callback done) = 0;

    /// Gives up a request and tells the server; its callback is not called any more.
    virtual void cancel(const SubRequestId &id) = 0;
};

} // namespace Burdock
