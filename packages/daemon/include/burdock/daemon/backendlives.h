#pragma once

#include <burdock/policy/backendlife.h>
#include <burdock/values/place.h>
#include <burdock/values/subrequest.h>

#include <functional>
#include <map>
#include <memory>

namespace Burdock
{

/// This instance's view of the life of every listed backend server.
class BackendLives
{
public:
    using ChangeHandler = std::function<void(const ServerId &server, BackendState state)>;

    BackendLives(Runtime &runtime, ChangeHandler changed);

    /// Takes over a version of the instance list; a server that is gone for good is forgotten.
    void updateList(const InstanceList &list);

    /// A server answered a request that was dispatched at that moment.
    void replied(const ServerId &server, bool draining, TimePoint dispatched);

    /// A peer reported on one of the servers that it holds.
    void reported(const InstanceId &peer, const ServerReport &report);

    /// How many servers are in a state.
    std::size_t count(BackendState state) const;

private:
    Runtime &runtime_;
    ChangeHandler changed_;
    std::map<ServerId, std::unique_ptr<BackendLife>> lives_;
};

} // namespace Burdock
