#pragma once

#include <burdock/values/subrequest.h>

#include <functional>

namespace Burdock
{

/// The entry instance's interface to the holders of servers.
class SubRequestPort
{
public:
    virtual ~SubRequestPort() = default;

    using Callback = std::function<void(const SubReply &)>;

    /// Sends a sub-request to a holder of its server. `done` is called once, never from within `send`,
    /// unless the sub-request is cancelled first.
    virtual void send(const SubRequest &request, Callback done) = 0;

    /// Cancels a sub-request; its callback is no longer called.
    virtual void cancel(const SubRequestId &id) = 0;
};

} // namespace Burdock
