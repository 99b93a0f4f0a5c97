#pragma once

#include <burdock/wire/httpclient.h>

#include <map>
#include <utility>

namespace Burdock
{

/// An HTTP client whose requests the test answers by hand.
class ManualClient final : public HttpClient
{
public:
    HttpCallId send(HttpRequest request, Callback done) override
    {
        calls[++lastId_] = {std::move(request), std::move(done)};
        return lastId_;
    }
    void cancel(HttpCallId call) override
    {
        calls.erase(call);
    }
    void setLimits(const Address &, const ConnectionLimits &) override
    {
    }
    void closeIdle() override
    {
    }
    void failUnsent(const Address &) override
    {
    }
    std::uint32_t openConnections(const Address &) const override
    {
        return 0;
    }

    void answer(Result<HttpResponse> response)
    {
        auto node = calls.extract(calls.begin());
        node.mapped().second(std::move(response));
    }

    std::map<HttpCallId, std::pair<HttpRequest, Callback>> calls;

private:
    HttpCallId lastId_ = 0;
};

} // namespace Burdock
