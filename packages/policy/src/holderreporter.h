#pragma once

#include <burdock/values/runtime.h>
#include <burdock/values/subrequest.h>

#include <functional>
#include <map>

namespace Burdock
{

/// Tells of changed server reports, each server's at most a few times a second.
class HolderReporter
{
public:
    using Source = std::function<ServerReport(const ServerId &)>;
    using Handler = std::function<void(const ServerReport &)>;

    /// `source` gives a server's report as it stands.
    HolderReporter(Runtime &runtime, Source source);
    ~HolderReporter();
    HolderReporter(const HolderReporter &) = delete;
    HolderReporter &operator=(const HolderReporter &) = delete;

    void setHandler(Handler handler);

    /// Looks whether the server's report changed enough to be published, and tells it as soon as it may.
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
