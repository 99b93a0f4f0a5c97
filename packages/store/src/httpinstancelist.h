#pragma once

#include <burdock/store/instancelistsource.h>
#include <burdock/wire/httpclient.h>

#include <optional>
#include <random>

namespace Burdock
{

/// Follows the platform's instance list by HTTP long polls, with one poll at a time.
class HttpInstanceList final : public InstanceListSource
{
public:
    HttpInstanceList(Runtime &runtime, HttpClient &client, const Address &address);
    ~HttpInstanceList() override;
    HttpInstanceList(const HttpInstanceList &) = delete;
    HttpInstanceList &operator=(const HttpInstanceList &) = delete;

    void follow(std::function<void(const InstanceList &)> onChanged) override;
    void stop() override;

private:
    void poll();
    void onResponse(const Result<HttpResponse> &response);
    void pollLater();
    /// Whether lists of a lower version have come for so long that the list must have been restored from a copy.
    bool wentBack(std::uint64_t version);

    Runtime &runtime_;
    HttpClient &client_;
    const Address address_;
    std::function<void(const InstanceList &)> onChanged_;
    std::uint64_t version_ = 0;
    /// The number of consecutive polls that failed or that returned early without a newer list.
    std::uint32_t failures_ = 0;
    bool hasList_ = false;
    /// Since when all lists had a lower version than the known one.
    std::optional<TimePoint> olderSince_;
    TimePoint pollStart_{};
    HttpCallId call_ = 0;
    TimerId timer_ = 0;
    std::mt19937_64 random_;
};

/// Parses the JSON of an instance list. Fails with BadRequest if it is malformed or an entry has no valid address.
Result<InstanceList> parseInstanceList(const std::string &text);

} // namespace Burdock
