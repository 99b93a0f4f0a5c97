#pragma once

#include <burdock/fakes/fakeresponder.h>
#include <burdock/fakes/storestate.h>

#include <cstdint>
#include <list>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Burdock
{

/// Counters of a FakeKeyValueStore; each call counts once.
struct FakeKeyValueCounters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t renewals = 0;
};

/// The documented HTTP API of the users' platform's store on top of a StoreState: paged ranges, long polls, conditional
/// writes and leases.
class FakeKeyValueStore
{
public:
    explicit FakeKeyValueStore(Runtime &runtime);
    ~FakeKeyValueStore();
    FakeKeyValueStore(const FakeKeyValueStore &) = delete;
    FakeKeyValueStore &operator=(const FakeKeyValueStore &) = delete;

    /// Handles one call.
    void handle(const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder);

    /// Write keys directly, as the operator and the servers do, without the checks and counters of the HTTP API.
    void put(const std::string &key, const std::string &value, std::int64_t lease = 0);
    void remove(const std::string &key);

    /// Sets the maximum number of items in a page of a range.
    void setPageSize(std::size_t items)
    {
        pageSize_ = items;
    }

    /// Goes back to a copy of the state; the number of the history, which all answers state, rises by one.
    void restore(const StoreState::Copy &copy);

    StoreState &state()
    {
        return state_;
    }

    const FakeKeyValueCounters &counters() const
    {
        return counters_;
    }

private:
    struct Poll
    {
        std::string prefix;
        std::int64_t after = 0;
        std::shared_ptr<FakeResponder> responder;
        TimerId timer = 0;
    };

    struct Reply
    {
        int status = 200;
        std::string body;
    };

    Reply range(const HttpServerRequest &request);
    Reply item(const HttpServerRequest &request);
    Reply transact(const nlohmann::json &body);
    Reply grant(const nlohmann::json &body);
    Reply renewLease(std::int64_t lease);
    Reply endLease(std::int64_t lease);
    Reply serve(const HttpServerRequest &request);
    void watch(const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder);
    bool answerPoll(const Poll &poll, bool ended);
    void onChanged();
    HttpServerResponse response(int status, std::string body) const;

    Runtime &runtime_;
    StoreState state_;
    FakeKeyValueCounters counters_;
    std::size_t pageSize_ = 500;
    std::int64_t history_ = 0;
    std::list<Poll> polls_;
    std::uint64_t listener_ = 0;
};

} // namespace Burdock
