#pragma once

#include <burdock/values/runtime.h>
#include <burdock/values/subrequest.h>

#include <functional>
#include <map>

namespace Burdock
{

/// Publishes changed server reports, at most a few times per second for each server.
class HolderReporter
{
public:
    using Source = std::function<ServerReport(const ServerId &)>;
    using Handler = std::function<void(const ServerReport &)>;

    /// `source` returns the current report of a server.
    HolderReporter(Runtime &runtime, Source source);
    ~HolderReporter();
    HolderReporter(const HolderReporter &) = delete;
    HolderReporter &operator=(const HolderReporter &) = delete;

    void setHandler(Handler handler);

    /// Publishes the report of the server, as soon as the rate limit permits, if it changed significantly.
    void update(const ServerId &server);

private:
    struct Published
    {
        ServerReport report;
        TimePoint at{};
        TimerId timer = 0;
    };

    void publish(const ServerId &server);

    Runtime &runtime_;
    Source source_;
    Handler handler_;
    std::map<ServerId, Published> published_;
};

} // namespace Burdock
