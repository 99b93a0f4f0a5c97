#pragma once

#include <burdock/fakes/fakehttpserver.h>

#include <deque>
#include <functional>
#include <memory>

namespace Burdock
{

/// Stands between a stand-in's port and its logic and brings about the transport's faults.
class FaultGate
{
public:
    using OutageHandler = std::function<void(Outage)>;

    /// `onOutage` opens and closes the port.
    FaultGate(Runtime &runtime, FakeHandler inner, OutageHandler onOutage);

    /// What the port hands over.
    void handle(HttpServerRequest request, std::shared_ptr<FakeResponder> responder);

    /// Does the work now, or, while frozen, when the freeze ends.
    void whenThawed(std::function<void()> work);

    const TransportFaults &faults() const
    {
        return faults_;
    }

    /// Takes over new faults; a lifted freeze lets out all that was held, in order.
    void setFaults(TransportFaults faults);

private:
    class Responder;

    bool suffers(const std::string &path);
    void admit(HttpServerRequest request, const std::shared_ptr<FakeResponder> &responder);

    Runtime &runtime_;
    FakeHandler inner_;
    OutageHandler onOutage_;
    TransportFaults faults_;
    std::uint64_t matching_ = 0;
    std::deque<std::function<void()>> held_;
    /// Requests that a hanging stand-in never answers; kept so that their connections stay open.
    std::deque<std::shared_ptr<FakeResponder>> hung_;
};

} // namespace Burdock
