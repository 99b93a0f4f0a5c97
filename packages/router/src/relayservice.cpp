#include <burdock/router/relayservice.h>

#include <burdock/router/relaycodec.h>
#include <burdock/routing/dataage.h>

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

/// The minimum time between answers with changes under one prefix: when all instances restart, changes come one by one, and each
/// answer costs every child a poll.
constexpr Duration AnswerInterval = std::chrono::milliseconds(100);
/// Longer waits requested by a poll are reduced to this.
constexpr Duration MaxPollWait = std::chrono::seconds(5);

std::string parameter(const HttpServerRequest &incoming, const char *name)
{
    const auto found = incoming.query.find(name);
    return found == incoming.query.end() ? std::string() : found->second;
}

std::optional<std::int64_t> parseNumber(const std::string &text)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size() && number >= 0 ? std::optional(number) : std::nullopt;
}

} // namespace

RelayService::RelayService(Runtime &runtime, std::function<TimePoint()> completeUntil, std::function<int()> depth)
    : runtime_(runtime)
    , completeUntil_(std::move(completeUntil))
    , depth_(std::move(depth))
{
}

RelayService::~RelayService()
{
    for (const Poll &poll : polls_) {
        runtime_.cancel(poll.timer);
    }
    for (const auto &[prefix, state] : prefixes_) {
        runtime_.cancel(state.answerTimer);
    }
}

Duration RelayService::age() const
{
    return runtime_.now() - completeUntil_();
}

bool RelayService::isFresh() const
{
    return DataAge::isServable(age(), depth_());
}

HttpServerResponse RelayService::makeResponse(int status, TimePoint arrived, std::string body) const
{
    HttpServerResponse out;
    out.status = status;
    out.jsonByDefault = false;
    out.headers[RelayFormat::Header] = std::to_string(RelayFormat::Current);
    out.headers[AgeHeader] = std::to_string((arrived - completeUntil_()) / std::chrono::milliseconds(1));
    out.body = std::move(body);
    return out;
}

void RelayService::PrefixState::clearCachedResponses()
{
    cachedListing.clear();
    cachedChanges.clear();
}

void RelayService::onListed(const std::string &prefix, const std::vector<StoreEntry> &entries, std::int64_t revision)
{
    PrefixState &state = prefixes_[prefix];
    state.clearCachedResponses();
    state.log.restart(revision);
    state.revision = revision;
    state.hasListing = true;
    state.entries.clear();
    for (const StoreEntry &entry : entries) {
        state.entries[entry.key] = entry;
    }
    announceChanges(prefix, true);
}

void RelayService::onChanged(const std::string &prefix, const StoreEntry &entry)
{
    PrefixState &state = prefixes_[prefix];
    state.clearCachedResponses();
    state.log.append(entry);
    state.revision = std::max(state.revision, entry.modRevision);
    if (entry.deleted) {
        state.entries.erase(entry.key);
    } else {
        state.entries[entry.key] = entry;
    }
    announceChanges(prefix, false);
}

void RelayService::announceChanges(const std::string &prefix, bool complete)
{
    PrefixState &state = prefixes_[prefix];
    if (state.answerTimer != 0) {
        return;
    }
    const Duration wait = std::max(state.answeredAt + AnswerInterval - runtime_.now(), Duration{0});
    if (complete && wait == Duration{0}) {
        return answerPolls(prefix);
    }
    // An answer between two changes of one revision would hide the second from the child.
    state.answerTimer = runtime_.schedule(wait, [this, prefix] {
        prefixes_[prefix].answerTimer = 0;
        answerPolls(prefix);
    });
}

void RelayService::serveEntries(const HttpServerRequest &incoming, HttpResponder &responder)
{
    const auto state = prefixes_.find(parameter(incoming, "prefix"));
    if (!isFresh() || state == prefixes_.end() || !state->second.hasListing) {
        responder.respond(makeResponse(UnavailableStatus, runtime_.now()));
        return;
    }
    std::string &cachedListing = state->second.cachedListing;
    if (cachedListing.empty()) {
        StoreRange range;
        range.revision = state->second.revision;
        for (const auto &[key, entry] : state->second.entries) {
            range.entries.push_back(entry);
        }
        cachedListing = writeRange(range);
    }
    responder.respond(makeResponse(OkStatus, runtime_.now(), cachedListing));
}

void RelayService::serve(const HttpServerRequest &incoming, const std::shared_ptr<HttpResponder> &responder)
{
    if (incoming.path == EntriesPath) {
        return serveEntries(incoming, *responder);
    }
    const auto after = parseNumber(parameter(incoming, "after"));
    const auto waitMs = parseNumber(parameter(incoming, "waitMs"));
    if (!after || !waitMs) {
        responder->respond(makeResponse(BadRequestStatus, runtime_.now()));
        return;
    }
    Poll poll{parameter(incoming, "prefix"), *after, responder, runtime_.now(), 0};
    const auto state = prefixes_.find(poll.prefix);
    const bool answerLater = state != prefixes_.end() && state->second.answerTimer != 0;
    if (!answerLater && tryAnswer(poll, false)) {
        return;
    }
    const Duration wait = std::chrono::milliseconds(std::min<std::int64_t>(*waitMs, MaxPollWait / std::chrono::milliseconds(1)));
    const auto position = polls_.insert(polls_.end(), std::move(poll));
    position->timer = runtime_.schedule(wait, [this, position] {
        tryAnswer(*position, true);
        removePoll(position);
    });
    responder->setDisconnectHandler([this, position] { removePoll(position); });
}

bool RelayService::tryAnswer(const Poll &poll, bool timedOut)
{
    if (!isFresh()) {
        poll.responder->respond(makeResponse(UnavailableStatus, poll.arrived));
        return true;
    }
    const auto found = prefixes_.find(poll.prefix);
    if (found == prefixes_.end() || !found->second.hasListing) {
        poll.responder->respond(makeResponse(UnavailableStatus, poll.arrived));
        return true;
    }
    PrefixState &state = found->second;
    const auto cached = state.cachedChanges.find(poll.after);
    if (cached != state.cachedChanges.end()) {
        state.answeredAt = runtime_.now();
        poll.responder->respond(makeResponse(OkStatus, poll.arrived, cached->second));
        return true;
    }
    const auto cachedChanges = state.log.since(poll.after);
    if (!cachedChanges) {
        poll.responder->respond(makeResponse(GoneStatus, poll.arrived));
        return true;
    }
    if (cachedChanges->empty()) {
        if (timedOut) {
            poll.responder->respond(makeResponse(OkStatus, poll.arrived, writeChanges(*cachedChanges)));
        }
        return timedOut;
    }
    state.answeredAt = runtime_.now();
    poll.responder->respond(makeResponse(OkStatus, poll.arrived, state.cachedChanges.emplace(poll.after, writeChanges(*cachedChanges)).first->second));
    return true;
}

void RelayService::removePoll(Polls::iterator poll)
{
    runtime_.cancel(poll->timer);
    polls_.erase(poll);
}

void RelayService::answerPolls(const std::string &prefix)
{
    for (auto poll = polls_.begin(); poll != polls_.end();) {
        const auto next = std::next(poll);
        if (poll->prefix == prefix && tryAnswer(*poll, false)) {
            removePoll(poll);
        }
        poll = next;
    }
}

void RelayService::endStalePolls()
{
    if (isFresh()) {
        return;
    }
    while (!polls_.empty()) {
        tryAnswer(polls_.front(), true);
        removePoll(polls_.begin());
    }
}

} // namespace Burdock
