#pragma once

#include <burdock/routing/changelog.h>
#include <burdock/wire/httpserver.h>

#include <functional>
#include <list>
#include <map>
#include <memory>

namespace Burdock
{

/// Tells other instances of changes in the store, as this instance hears of them.
///
/// An answer says when this instance last heard from the store by itself; once that is too long ago it says so instead, and
/// polls that wait are ended, so that those who ask turn to the store.
class RelayService
{
public:
    /// `confirmedAt`: when the store last answered a request of this instance.
    RelayService(Runtime &runtime, std::function<TimePoint()> confirmedAt);
    ~RelayService();
    RelayService(const RelayService &) = delete;
    RelayService &operator=(const RelayService &) = delete;

    /// What this instance learns itself: all keys under a prefix, or one change.
    void onListed(const std::string &prefix, const std::vector<StoreEntry> &entries, std::int64_t revision);
    void onChanged(const std::string &prefix, const StoreEntry &entry);

    /// Answers a question for all keys, or a poll for changes, now or when there is something to tell.
    void serve(const HttpIncoming &incoming, const std::shared_ptr<HttpResponder> &responder);

    /// Ends the polls that wait if the store has been silent for too long.
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

    /// All keys under a prefix as this instance knows them.
    struct PrefixState
    {
        ChangeLog log;
        std::map<std::string, StoreEntry> entries;
        std::int64_t revision = 0;
        bool hasListing = false;
        /// Answers as they were last written, for the others that ask the same: all keys, and the changes after a revision.
        std::string cachedListing;
        std::map<std::int64_t, std::string> cachedChanges;

        void clearCachedResponses();
    };

    bool isFresh() const;
    void serveEntries(const HttpIncoming &incoming, HttpResponder &responder);
    /// True where the poll was answered; with `ended` also by an empty answer.
    bool tryAnswer(const Poll &poll, bool timedOut);
    void answerPolls(const std::string &prefix);
    void removePoll(Polls::iterator poll);

    Runtime &runtime_;
    const std::function<TimePoint()> confirmedAt_;
    std::map<std::string, PrefixState> prefixes_;
    Polls polls_;
};

} // namespace Burdock
