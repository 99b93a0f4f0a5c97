#include <burdock/fakes/faultgate.h>

namespace Burdock
{

/// Delays and breaks the answer as the faults of the request's arrival said.
class FaultGate::Responder final : public FakeResponder, public std::enable_shared_from_this<Responder>
{
public:
    Responder(FaultGate &gate, std::shared_ptr<FakeResponder> inner, Delivery delivery)
        : gate_(gate)
        , inner_(std::move(inner))
        , delivery_(delivery)
    {
    }

    void respond(HttpServerResponse answer, Delivery delivery) override
    {
        const Delivery worst = delivery_ == Delivery::Whole ? delivery : delivery_;
        auto send = [this, self = shared_from_this(), answer = std::move(answer), worst] {
            gate_.whenThawed([self, answer, worst] { self->inner_->respond(answer, worst); });
        };
        if (gate_.faults_.replyDelay > Duration{0}) {
            gate_.runtime_.schedule(gate_.faults_.replyDelay, send);
        } else {
            send();
        }
    }

    void precede(const HttpServerResponse &stray) override
    {
        gate_.whenThawed([self = shared_from_this(), stray] { self->inner_->precede(stray); });
    }

    void sendChunk(const std::string &piece) override
    {
        gate_.whenThawed([self = shared_from_this(), piece] { self->inner_->sendChunk(piece); });
    }

    void finish() override
    {
        gate_.whenThawed([self = shared_from_this()] { self->inner_->finish(); });
    }

    void setDisconnectHandler(std::function<void()> gone) override
    {
        inner_->setDisconnectHandler(std::move(gone));
    }

    bool firstOfConnection() const override
    {
        return inner_->firstOfConnection();
    }

private:
    FaultGate &gate_;
    std::shared_ptr<FakeResponder> inner_;
    Delivery delivery_;
};

FaultGate::FaultGate(Runtime &runtime, FakeHandler inner, OutageHandler onOutage)
    : runtime_(runtime)
    , inner_(std::move(inner))
    , onOutage_(std::move(onOutage))
{
}

void FaultGate::handle(HttpServerRequest request, std::shared_ptr<FakeResponder> responder)
{
    if (faults_.outage == Outage::Hang) {
        hung_.push_back(std::move(responder));
        return;
    }
    whenThawed([this, request = std::move(request), responder = std::move(responder)] { admit(request, responder); });
}

void FaultGate::admit(HttpServerRequest request, const std::shared_ptr<FakeResponder> &responder)
{
    const bool hit = suffers(request.path);
    if (hit && faults_.error != 0) {
        responder->respond(HttpServerResponse{faults_.error, {}, R"({"error":"fault"})"});
        return;
    }
    const auto wrapped = std::make_shared<Responder>(*this, responder, hit ? faults_.delivery : Delivery::Whole);
    if (faults_.delay > Duration{0}) {
        runtime_.schedule(faults_.delay, [this, request = std::move(request), wrapped] { whenThawed([this, request, wrapped] { inner_(request, wrapped); }); });
    } else {
        inner_(std::move(request), wrapped);
    }
}

bool FaultGate::suffers(const std::string &path)
{
    if (path.compare(0, faults_.path.size(), faults_.path) != 0 || faults_.times == 0) {
        return false;
    }
    if (++matching_ % faults_.every != 0) {
        return false;
    }
    faults_.times -= faults_.times > 0 ? 1 : 0;
    return true;
}

void FaultGate::whenThawed(std::function<void()> work)
{
    if (faults_.frozen) {
        held_.push_back(std::move(work));
    } else {
        work();
    }
}

void FaultGate::setFaults(TransportFaults faults)
{
    const bool outageChanged = faults.outage != faults_.outage;
    faults_ = std::move(faults);
    matching_ = 0;
    if (outageChanged) {
        hung_.clear();
        onOutage_(faults_.outage);
    }
    while (!faults_.frozen && !held_.empty()) {
        const auto work = std::move(held_.front());
        held_.pop_front();
        work();
    }
}

} // namespace Burdock
