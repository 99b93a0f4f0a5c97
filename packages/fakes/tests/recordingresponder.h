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

    void respond(HttpOutgoing given, Delivery how) override
    {
        answer = std::move(given);
        delivery = how;
    }

    void precede(const HttpOutgoing &stray) override
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

    void onGone(std::function<void()> callback) override
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

    std::optional<HttpOutgoing> answer;
    Delivery delivery = Delivery::Whole;
    std::vector<HttpOutgoing> strays;
    std::vector<std::string> chunks;
    bool finished = false;
    std::function<void()> gone;

private:
    bool first_;
};

} // namespace Burdock
