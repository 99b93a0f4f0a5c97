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
    void listed(const std::string &prefix, const std::vector<StoreEntry> &entries, std::int64_t revision);
    void changed(const std::string &prefix, const StoreEntry &entry);

    /// Answers a question for all keys, or a poll for changes, now or when there is something to tell.
    void serve(const HttpServerRequest &incoming, const std::shared_ptr<HttpResponder> &responder);

    /// Ends the polls that wait if the store has been silent for too long.
    void check();

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
    struct Known
    {
        ChangeLog log;
        std::map<std::string, StoreEntry> entries;
        std::int64_t revision = 0;
        bool begun = false;
        /// Answers as they were last written, for the others that ask the same: all keys, and the changes after a revision.
        std::string listing;
        std::map<std::int64_t, std::string> changes;

        void forgetAnswers();
    };

    bool fresh() const;
    void serveEntries(const HttpServerRequest &incoming, HttpResponder &responder);
    /// True where the poll was answered; with `ended` also by an empty answer.
    bool answer(const Poll &poll, bool ended);
    void answerWaiting(const std::string &prefix);
    void end(Polls::iterator poll);

    Runtime &runtime_;
    const std::function<TimePoint()> confirmedAt_;
    std::map<std::string, Known> known_;
    Polls polls_;
};

} // namespace Burdock
