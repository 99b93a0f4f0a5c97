#pragma once

#include <burdock/fakes/fakeresponder.h>
#include <burdock/values/place.h>

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>

namespace Burdock
{

/// The platform's instance list, where changes become visible after a configurable lag.
class FakeInstanceList
{
public:
    explicit FakeInstanceList(Runtime &runtime);
    ~FakeInstanceList();
    FakeInstanceList(const FakeInstanceList &) = delete;
    FakeInstanceList &operator=(const FakeInstanceList &) = delete;

    /// Handles `GET /v1/instances?after=VERSION&waitMs=N`.
    void handle(const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder);

    /// Adds, replaces or removes an entry.
    void set(const ListedInstance &instance);
    void set(const ListedServer &server);
    void remove(const InstanceId &instance);
    void remove(const ServerId &server);

    /// Sets the lag of subsequent changes.
    void setLag(Duration lag);

    /// The list as currently visible to clients.
    const InstanceList &visible() const
    {
        return visible_;
    }

private:
    struct Waiting
    {
        std::shared_ptr<FakeResponder> responder;
        TimerId timer = 0;
    };

    void onChanged();
    void makeVisible(const InstanceList &list);
    void answer(const std::shared_ptr<FakeResponder> &responder) const;

    Runtime &runtime_;
    Duration lag_{0};
    InstanceList actual_;
    InstanceList visible_;
    std::uint64_t lastWaiting_ = 0;
    std::map<std::uint64_t, Waiting> waiting_;
};

/// Conversion of list entries to and from JSON; reading throws on malformed input.
nlohmann::json listedInstanceJson(const ListedInstance &instance);
nlohmann::json listedServerJson(const ListedServer &server);
ListedInstance listedInstanceOf(const nlohmann::json &object);

} // namespace Burdock
