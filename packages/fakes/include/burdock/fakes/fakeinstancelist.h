#pragma once

#include <burdock/fakes/fakeresponder.h>
#include <burdock/values/place.h>

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>

namespace Burdock
{

/// The platform's instance list with a lag: a change is shown only so long after it was made.
class FakeInstanceList
{
public:
    explicit FakeInstanceList(Runtime &runtime);
    ~FakeInstanceList();
    FakeInstanceList(const FakeInstanceList &) = delete;
    FakeInstanceList &operator=(const FakeInstanceList &) = delete;

    /// Answers `GET /v1/instances?after=VERSION&waitMs=N`.
    void handle(const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder);

    /// Adds or replaces an entry; takes it off the list.
    void set(const ListedInstance &instance);
    void set(const ListedServer &server);
    void remove(const InstanceId &instance);
    void remove(const ServerId &server);

    /// The lag of changes from now on.
    void setLag(Duration lag);

    /// The list as shown at the moment.
    const InstanceList &shown() const
    {
        return shown_;
    }

private:
    struct Waiting
    {
        std::shared_ptr<FakeResponder> responder;
        TimerId timer = 0;
    };

    void changed();
    void show(const InstanceList &list);
    void answer(const std::shared_ptr<FakeResponder> &responder) const;

    Runtime &runtime_;
    Duration lag_{0};
    InstanceList actual_;
    InstanceList shown_;
    std::uint64_t lastWaiting_ = 0;
    std::map<std::uint64_t, Waiting> waiting_;
};

/// The list's JSON, both ways; reading throws on malformed input.
nlohmann::json listedInstanceJson(const ListedInstance &instance);
nlohmann::json listedServerJson(const ListedServer &server);
ListedInstance listedInstanceOf(const nlohmann::json &object);

} // namespace Burdock
