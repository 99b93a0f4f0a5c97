#pragma once

#include <burdock/fakes/fakeresponder.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Burdock
{

/// Keeps the answer for the test to look at.
class RecordingResponder final : public FakeResponder
{
public:
    explicit RecordingResponder(bool first = false)
        : first_(first)
    {
    }

    void respond(HttpServerResponse given, Delivery how) override
    {
        answer = std::move(given);
        delivery = how;
    }

    void precede(const HttpServerResponse &stray) override
    {
        strays.push_back(stray);
    }

    void sendChunk(const std::string &piece) override
    {
        chunks.push_back(piece);
    }

    void finish() override
    {
        finished = true;
    }

    void setDisconnectHandler(std::function<void()> callback) override
    {
        gone = std::move(callback);
    }

    bool firstOfConnection() const override
    {
        return first_;
    }

    int status() const
    {
        return answer ? answer->status : 0;
    }

    nlohmann::json json() const
    {
        return answer ? nlohmann::json::parse(answer->body) : nlohmann::json();
    }

    std::optional<HttpServerResponse> answer;
    Delivery delivery = Delivery::Whole;
    std::vector<HttpServerResponse> strays;
    std::vector<std::string> chunks;
    bool finished = false;
    std::function<void()> gone;

private:
    bool first_;
};

} // namespace Burdock
