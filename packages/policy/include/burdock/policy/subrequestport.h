#pragma once

#include <burdock/values/subrequest.h>

#include <functional>

namespace Burdock
{

/// The entry's way to the holders of servers.
class SubRequestPort
{
public:
    virtual ~SubRequestPort() = default;

    using Callback = std::function<void(const SubReply &)>;

    /// Sends a sub-request to a holder of its server. `done` is called once, never from within `send`,
    /// unless the sub-request is cancelled first.
    virtual void send(const SubRequest &request, Callback done) = 0;

    /// Gives up a sub-request; its callback is not called any more.
    virtual void cancel(const SubRequestId &id) = 0;
};

} // namespace Burdock
