#pragma once

#include <burdock/wire/httpserver.h>

#include <functional>
#include <map>
#include <string>

namespace Burdock
{

/// Stores the only response.
class RecordedResponder final : public HttpResponder
{
public:
    void respond(HttpServerResponse answer) override
    {
        CHECK(status == 0);
        status = answer.status;
        body = answer.body;
        headers = answer.headers;
    }
    void sendChunk(const std::string &) override
    {
    }
    void finish() override
    {
    }
    void setDisconnectHandler(std::function<void()> callback) override
    {
        onClientGone = std::move(callback);
    }

    int status = 0;
    std::string body;
    std::map<std::string, std::string> headers;
    std::function<void()> onClientGone;
};

} // namespace Burdock
