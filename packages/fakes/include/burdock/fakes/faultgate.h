#pragma once

#include <burdock/fakes/fakehttpserver.h>

#include <deque>
#include <functional>
#include <memory>

namespace Burdock
{

/// Injects transport faults between the port of a fake and its request handler.
class FaultGate
{
public:
    using OutageHandler = std::function<void(Outage)>;

    /// `onOutage` is called when the outage changes, and opens or closes the port.
    FaultGate(Runtime &runtime, FakeHandler inner, OutageHandler onOutage);

    /// Handles a request received on the port.
    void handle(HttpServerRequest request, std::shared_ptr<FakeResponder> responder);

    /// Runs `work` at once or, while frozen, when the freeze ends.
    void runWhenUnfrozen(std::function<void()> work);

    const TransportFaults &faults() const
    {
        return faults_;
    }

    /// Replaces the faults. Ending a freeze runs all deferred work in order.
    void setFaults(TransportFaults faults);

private:
    class Responder;

    bool selectForFault(const std::string &path);
    void admit(HttpServerRequest request, const std::shared_ptr<FakeResponder> &responder);

    Runtime &runtime_;
    FakeHandler inner_;
    OutageHandler onOutage_;
    TransportFaults faults_;
    std::uint64_t matching_ = 0;
    std::deque<std::function<void()>> deferred_;
    /// Requests received during a hang, which are never answered; kept so that their connections stay open.
    std::deque<std::shared_ptr<FakeResponder>> hung_;
};

} // namespace Burdock
