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
/// If the data are too old, requests are answered with status 503 and waiting polls are ended, so that the callers use another
/// relay or the store. Each response states the age of the data, which adds up along a chain of relays. Changes that follow each
/// other closely are answered together.
class RelayService
{
public:
    /// `completeUntil` returns the time up to which this instance's data are known to be complete, and `depth` the number of relays
    /// between this instance and the store.
    RelayService(
        Runtime &runtime, std::function<TimePoint()> completeUntil, std::function<int()> depth = [] { return 0; });
    ~RelayService();
    RelayService(const RelayService &) = delete;
    RelayService &operator=(const RelayService &) = delete;

    /// Updates the served data with all keys under a prefix, or with one change.
    void onListed(const std::string &prefix, const std::vector<StoreEntry> &entries, std::int64_t revision);
    void onChanged(const std::string &prefix, const StoreEntry &entry);

    /// Answers a request for all keys, or a poll for changes: at once if there are any, else when one arrives or the wait is over.
    void serve(const HttpServerRequest &incoming, const std::shared_ptr<HttpResponder> &responder);

    /// Ends the waiting polls if the data are too old.
    void endStalePolls();

    /// Returns the time since the data were known to be complete.
    Duration age() const;

    /// Whether the data are recent enough to be served.
    bool isFresh() const;

    static constexpr const char *ChangesPath = "/changes";
    static constexpr const char *EntriesPath = "/entries";
    /// The header with the age, in milliseconds, that the data had when the request arrived; negative if they are complete until
    /// later. So the time for which an answer waited or was on its way never makes data look fresher.
    static constexpr const char *AgeHeader = "relay-age-ms";

private:
    struct Poll
    {
        std::string prefix;
        std::int64_t after = 0;
        std::shared_ptr<HttpResponder> responder;
        TimePoint arrived{};
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
        /// When polls were last answered with changes, and the timer of the next time.
        TimePoint answeredAt{};
        TimerId answerTimer = 0;
        /// Encoded responses, reused for identical requests: all keys, and the changes after a revision.
        std::string cachedListing;
        std::map<std::int64_t, std::string> cachedChanges;

        void clearCachedResponses();
    };

    HttpServerResponse makeResponse(int status, TimePoint arrived, std::string body = {}) const;
    /// Answers the waiting polls soon; at once if `complete`, which states that no other change of the same revision follows, and if
    /// none were answered just before.
    void announceChanges(const std::string &prefix, bool complete);
    void serveEntries(const HttpServerRequest &incoming, HttpResponder &responder);
    /// Answers the poll if there are changes or an error, or with an empty response if `timedOut`; returns whether it was answered.
    bool tryAnswer(const Poll &poll, bool timedOut);
    void answerPolls(const std::string &prefix);
    void removePoll(Polls::iterator poll);

    Runtime &runtime_;
    const std::function<TimePoint()> completeUntil_;
    const std::function<int()> depth_;
    std::map<std::string, PrefixState> prefixes_;
    Polls polls_;
};

} // namespace Burdock
