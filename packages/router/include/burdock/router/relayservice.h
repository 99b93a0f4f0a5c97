#pragma once

#include <burdock/routing/changelog.h>
#include <burdock/wire/httpserver.h>

#include <functional>
#include <list>
#include <map>
#include <memory>

namespace Burdock
{

/// Serves the store's keys and changes, as this instance knows them, to other instances.
///
/// If the store has not answered this instance for too long, requests are answered with status 503 and waiting polls are ended,
/// so that the callers use the store directly.
class RelayService
{
public:
    /// `confirmedAt` returns the time at which the store last answered a request of this instance.
    RelayService(Runtime &runtime, std::function<TimePoint()> confirmedAt);
    ~RelayService();
    RelayService(const RelayService &) = delete;
    RelayService &operator=(const RelayService &) = delete;

    /// Updates the served data with all keys under a prefix, or with one change.
    void onListed(const std::string &prefix, const std::vector<StoreEntry> &entries, std::int64_t revision);
    void onChanged(const std::string &prefix, const StoreEntry &entry);

    /// Answers a request for all keys, or a poll for changes: at once if there are any, else when one arrives or the wait is over.
    void serve(const HttpServerRequest &incoming, const std::shared_ptr<HttpResponder> &responder);

    /// Ends the waiting polls if the store has not answered for too long.
    void endStalePolls();

    static constexpr const char *ChangesPath = "/changes";
    static constexpr const char *EntriesPath = "/entries";

private:
    struct Poll
    {
        std::string prefix;
        std::int64_t after = 0;
        std::shared_ptr<HttpResponder> responder;
        TimerId timer = 0;
    };
    using Polls = std::list<Poll>;

    /// The keys and recent changes under a prefix.
    struct PrefixState
    {
        ChangeLog log;
        std::map<std::string, StoreEntry> entries;
        std::int64_t revision = 0;
        bool hasListing = false;
        /// Encoded responses, reused for identical requests: all keys, and the changes after a revision.
        std::string cachedListing;
        std::map<std::int64_t, std::string> cachedChanges;

        void clearCachedResponses();
    };

    bool isFresh() const;
    void serveEntries(const HttpServerRequest &incoming, HttpResponder &responder);
    /// Answers the poll if there are changes or an error, or with an empty response if `timedOut`; returns whether it was answered.
    bool tryAnswer(const Poll &poll, bool timedOut);
    void answerPolls(const std::string &prefix);
    void removePoll(Polls::iterator poll);

    Runtime &runtime_;
    const std::function<TimePoint()> confirmedAt_;
    std::map<std::string, PrefixState> prefixes_;
    Polls polls_;
};

} // namespace Burdock
