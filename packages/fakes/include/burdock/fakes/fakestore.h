#pragma once

#include <burdock/fakes/fakeresponder.h>
#include <burdock/fakes/storestate.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace Burdock
{

/// What a FakeStore has counted. Each call counts once, whatever it carries; a waiting watch is one call.
struct FakeStoreCounters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t refused = 0;
};

/// The etcd v3 JSON gateway over a StoreState.
class FakeStore
{
public:
    explicit FakeStore(Runtime &runtime);
    ~FakeStore();
    FakeStore(const FakeStore &) = delete;
    FakeStore &operator=(const FakeStore &) = delete;

    /// Answers one request of the gateway.
    void handle(const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder);

    /// Ends all watches, as a restarted store does.
    void breakWatches();

    StoreState &state()
    {
        return state_;
    }

    const FakeStoreCounters &counters() const
    {
        return counters_;
    }

private:
    struct Watch
    {
        KeySpan span;
        std::shared_ptr<FakeResponder> responder;
    };

    void watch(const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder);
    void publish(std::int64_t revision, const std::vector<StoredEvent> &events);

    StoreState state_;
    FakeStoreCounters counters_;
    std::uint64_t lastWatch_ = 0;
    std::map<std::uint64_t, Watch> watches_;
    std::uint64_t listener_;
};

} // namespace Burdock
