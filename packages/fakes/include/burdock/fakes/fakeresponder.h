#pragma once

#include <burdock/fakes/faults.h>
#include <burdock/wire/httpserver.h>

#include <functional>
#include <memory>

namespace Burdock
{

/// Responds to one request of a fake. Unlike HttpResponder, it can also send faulty responses on purpose.
class FakeResponder
{
public:
    virtual ~FakeResponder() = default;

    /// Sends the response; ignored if the client has disconnected or a response was already sent.
    virtual void respond(HttpServerResponse answer, Delivery delivery = Delivery::Whole) = 0;

    /// Sends the response of another request before the response to this one.
    virtual void sendStray(const HttpServerResponse &stray) = 0;

    /// Sends a chunk of a chunked response; `finish` ends the response.
    virtual void sendChunk(const std::string &piece) = 0;
    virtual void finish() = 0;

    /// Calls `onDisconnect` once if the client disconnects before the response is sent.
    virtual void setDisconnectHandler(std::function<void()> onDisconnect) = 0;

    /// True for the first request of its connection.
    virtual bool isFirstOfConnection() const = 0;
};

using FakeHandler = std::function<void(HttpServerRequest, std::shared_ptr<FakeResponder>)>;

} // namespace Burdock
