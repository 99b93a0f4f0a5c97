#include <burdock/router/relayservice.h>

#include <burdock/router/relaycodec.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace Burdock
{

namespace
{

constexpr int OkStatus = 200;
constexpr int BadRequestStatus = 400;
constexpr int GoneStatus = 410;
constexpr int UnavailableStatus = 503;

/// Without a word from the store for this long nothing more is told. With the time of a poll it bounds how old an instance's
/// knowledge may be; the platform's bounds leave three seconds. A renewal that comes once a second may be late by as much again.
constexpr Duration StaleAfter = std::chrono::milliseconds(1800);
/// The longest that a poll may wait.
constexpr Duration LongestWait = std::chrono::seconds(5);

std::string parameter(const HttpServerRequest &incoming, const char *name)
{
    const auto found = incoming.query.find(name);
    return found == incoming.query.end() ? std::string() : found->second;
}

std::optional<std::int64_t> numberOf(const std::string &text)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size() && number >= 0 ? std::optional(number) : std::nullopt;
}

HttpServerResponse bare(int status, std::string body = {})
{
    HttpServerResponse out;
    out.status = status;
    out.jsonByDefault = false;
    out.body = std::move(body);
    return out;
}

} // namespace

RelayService::RelayService(Runtime &runtime, std::function<TimePoint()> confirmedAt)
    : runtime_(runtime)
    , confirmedAt_(std::move(confirmedAt))
{
}

RelayService::~RelayService()
{
    for (const Poll &poll : polls_) {
        runtime_.cancel(poll.timer);
    }
}

bool RelayService::fresh() const
{
    return runtime_.now() - confirmedAt_() < StaleAfter;
}

void RelayService::Known::forgetAnswers()
{
    listing.clear();
    changes.clear();
}

void RelayService::listed(const std::string &prefix, const std::vector<StoreEntry> &entries, std::int64_t revision)
{
    Known &known = known_[prefix];
    known.forgetAnswers();
    known.log.restart(revision);
    known.revision = revision;
    known.begun = true;
    known.entries.clear();
    for (const StoreEntry &entry : entries) {
        known.entries[entry.key] = entry;
    }
    answerWaiting(prefix);
}

void RelayService::changed(const std::string &prefix, const StoreEntry &entry)
{
    Known &known = known_[prefix];
    known.forgetAnswers();
    known.log.append(entry);
    known.revision = std::max(known.revision, entry.modRevision);
    if (entry.deleted) {
        known.entries.erase(entry.key);
    } else {
        known.entries[entry.key] = entry;
    }
    answerWaiting(prefix);
}

void RelayService::serveEntries(const HttpServerRequest &incoming, HttpResponder &responder)
{
    const auto known = known_.find(parameter(incoming, "prefix"));
    if (!fresh() || known == known_.end() || !known->second.begun) {
        responder.respond(bare(UnavailableStatus));
        return;
    }
    std::string &listing = known->second.listing;
    if (listing.empty()) {
        StoreRange range;
        range.revision = known->second.revision;
        for (const auto &[key, entry] : known->second.entries) {
            range.entries.push_back(entry);
        }
        listing = writeRange(range);
    }
    responder.respond(bare(OkStatus, listing));
}

void RelayService::serve(const HttpServerRequest &incoming, const std::shared_ptr<HttpResponder> &responder)
{
    if (incoming.path == EntriesPath) {
        return serveEntries(incoming, *responder);
    }
    const auto after = numberOf(parameter(incoming, "after"));
    const auto waitMs = numberOf(parameter(incoming, "waitMs"));
    if (!after || !waitMs) {
        responder->respond(bare(BadRequestStatus));
        return;
    }
    Poll poll{parameter(incoming, "prefix"), *after, responder, 0};
    if (answer(poll, false)) {
        return;
    }
    const Duration wait = std::min<Duration>(std::chrono::milliseconds(*waitMs), LongestWait);
    const auto place = polls_.insert(polls_.end(), std::move(poll));
    place->timer = runtime_.schedule(wait, [this, place] {
        answer(*place, true);
        end(place);
    });
    responder->setDisconnectHandler([this, place] { end(place); });
}

bool RelayService::answer(const Poll &poll, bool ended)
{
    if (!fresh()) {
        poll.responder->respond(bare(UnavailableStatus));
        return true;
    }
    Known &known = known_[poll.prefix];
    const auto written = known.changes.find(poll.after);
    if (written != known.changes.end()) {
        poll.responder->respond(bare(OkStatus, written->second));
        return true;
    }
    const auto changes = known.log.since(poll.after);
    if (!changes) {
        poll.responder->respond(bare(GoneStatus));
        return true;
    }
    if (changes->empty()) {
        if (ended) {
            poll.responder->respond(bare(OkStatus, writeChanges(*changes)));
        }
        return ended;
    }
    poll.responder->respond(bare(OkStatus, known.changes.emplace(poll.after, writeChanges(*changes)).first->second));
    return true;
}

void RelayService::end(Polls::iterator poll)
{
    runtime_.cancel(poll->timer);
    polls_.erase(poll);
}

void RelayService::answerWaiting(const std::string &prefix)
{
    for (auto poll = polls_.begin(); poll != polls_.end();) {
        const auto next = std::next(poll);
        if (poll->prefix == prefix && answer(*poll, false)) {
            end(poll);
        }
        poll = next;
    }
}

void RelayService::check()
{
    if (fresh()) {
        return;
    }
    while (!polls_.empty()) {
        answer(polls_.front(), true);
        end(polls_.begin());
    }
}

} // namespace Burdock
