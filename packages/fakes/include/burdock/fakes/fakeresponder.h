#pragma once

#include <burdock/fakes/faults.h>
#include <burdock/wire/httpserver.h>

#include <functional>
#include <memory>

namespace Burdock
{

/// Answers one request of a stand-in; unlike HttpResponder it can also answer wrongly on purpose.
class FakeResponder
{
public:
    virtual ~FakeResponder() = default;

    /// Sends the answer; ignored where the client is gone or an answer was sent.
    virtual void respond(HttpServerResponse answer, Delivery delivery = Delivery::Whole) = 0;

    /// Sends an answer that belongs to another request, ahead of the one that is due.
    virtual void precede(const HttpServerResponse &stray) = 0;

    /// Sends a piece of a chunked answer; `finish` ends it.
    virtual void sendChunk(const std::string &piece) = 0;
    virtual void finish() = 0;

    /// Calls `gone` once if the client goes away before the answer was sent.
    virtual void setDisconnectHandler(std::function<void()> gone) = 0;

    /// True for the first request of its connection.
    virtual bool firstOfConnection() const = 0;
};

using FakeHandler = std::function<void(HttpServerRequest, std::shared_ptr<FakeResponder>)>;

} // namespace Burdock
