#include <burdock/policy/claimpartition.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Burdock
{

namespace
{

/// Matches the revision of no record, so the transaction conflicts and returns the record.
constexpr std::int64_t UnknownRevision = -1;
/// Estimated bytes of a write in addition to its key and outcome.
constexpr std::size_t RecordOverhead = 256;

} // namespace

/// A claim request or an outcome that is to be written to the store.
struct ClaimPartition::Item
{
    ClaimKey key;
    ClaimRecord record;
    std::int64_t expected = 0;
    std::uint64_t number = 0;
    /// Empty for an outcome.
    Answer answer;
    std::uint32_t attempts = 0;

    bool isRequest() const
    {
        return static_cast<bool>(answer);
    }

    std::size_t bytes() const
    {
        return RecordOverhead + key.key.size() + record.outcome.size();
    }
};

ClaimPartition::ClaimPartition(Runtime &runtime, ClaimStorePort &store, ClaimCounters &counters, const ClaimSettings &settings)
    : runtime_(runtime)
    , store_(store)
    , counters_(counters)
    , settings_(settings)
    , alive_(std::make_shared<bool>(true))
{
}

ClaimPartition::~ClaimPartition()
{
    *alive_ = false;
    runtime_.cancel(timer_);
}

std::size_t ClaimPartition::pending() const
{
    return queue_.size() + batch_.size();
}

void ClaimPartition::requestClaim(const ClaimRequest &request, Answer answer)
{
    ++counters_.requests;
    const Result<ClaimKey> key = parseClaimKey(request.command, request.key);
    auto item = std::make_shared<Item>();
    item->number = request.number;
    item->answer = std::move(answer);
    if (!key || pending() >= settings_.maxPending) {
        ++counters_.refused;
        return reply(*item, key ? Errc::Overloaded : Errc::BadRequest);
    }
    item->key = *key;
    item->record = ClaimRecord{request.claimant, request.incarnation, request.nonce, ClaimState::Claimed, {}};
    enqueue(std::move(item));
}

void ClaimPartition::record(const ClaimOutcome &outcome)
{
    const Result<ClaimKey> key = parseClaimKey(outcome.command, outcome.key);
    const bool released = outcome.verdict == Verdict::NotRun;
    if (!key || outcome.verdict == Verdict::MayHaveRun) {
        return;
    }
    if (released) {
        // Nothing has been written for a request that is still queued for its first attempt.
        const auto queued = std::find_if(
            queue_.begin(), queue_.end(), [&](const ItemPtr &item) { return item->isRequest() && item->record.nonce == outcome.nonce && item->attempts == 0; });
        if (queued != queue_.end()) {
            queue_.erase(queued);
            return;
        }
    }
    if (pending() >= settings_.maxPending || outcome.outcome.size() > settings_.maxOutcomeBytes) {
        ++counters_.outcomesDropped;
        return;
    }
    auto item = std::make_shared<Item>();
    item->key = *key;
    item->record.nonce = outcome.nonce;
    item->record.state = released ? ClaimState::Released : ClaimState::Ran;
    item->record.outcome = outcome.outcome;
    item->expected = UnknownRevision;
    enqueue(std::move(item));
}

void ClaimPartition::enqueue(ItemPtr item)
{
    queue_.push_back(std::move(item));
    schedule();
}

void ClaimPartition::schedule()
{
    if (timer_ != 0 || !batch_.empty() || queue_.empty()) {
        return;
    }
    const Duration wait = std::max(nextCommit_ - runtime_.now(), Duration{0});
    timer_ = runtime_.schedule(wait, [this] {
        timer_ = 0;
        commitNextBatch();
    });
}

void ClaimPartition::commitNextBatch()
{
    fillBatch();
    if (batch_.empty()) {
        return schedule();
    }
    mayHaveCommitted_ = false;
    batchAttempts_ = 0;
    commit();
}

/// Moves the items that fit into one transaction from the queue to the batch. Of several items with the same key, only
/// the first is taken.
void ClaimPartition::fillBatch()
{
    std::set<ClaimKey> keys;
    std::set<CommandName> commands;
    std::deque<ItemPtr> left;
    std::size_t bytes = 0;
    for (ItemPtr &item : queue_) {
        if (dropExpired(*item)) {
            continue;
        }
        const bool fits = keys.size() + commands.size() + 2 <= settings_.maxOperationsPerCommit && bytes + item->bytes() <= settings_.maxBytesPerCommit;
        if (!fits || keys.count(item->key) > 0) {
            left.push_back(std::move(item));
            continue;
        }
        keys.insert(item->key);
        commands.insert(item->key.command);
        bytes += item->bytes();
        batch_.push_back(std::move(item));
    }
    queue_ = std::move(left);
}

bool ClaimPartition::dropExpired(const Item &item)
{
    const auto floor = floors_.find(item.key.command);
    if (floor == floors_.end() || item.key.bucket >= floor->second.bucket) {
        return false;
    }
    if (item.isRequest()) {
        ++counters_.expired;
        reply(item, Errc::KeyExpired);
    } else {
        ++counters_.outcomesDropped;
    }
    return true;
}

/// Completes an outcome from the cached claim that it belongs to.
void ClaimPartition::applyGrantedClaim(Item &item) const
{
    const auto known = grantedClaims_.find(item.key);
    if (item.expected == UnknownRevision && known != grantedClaims_.end() && known->second.record.nonce == item.record.nonce) {
        item.expected = known->second.revision;
        item.record.claimant = known->second.record.claimant;
        item.record.incarnation = known->second.record.incarnation;
    }
}

void ClaimPartition::commit()
{
    ClaimTransaction transaction;
    std::set<CommandName> commands;
    for (const ItemPtr &item : batch_) {
        ++item->attempts;
        applyGrantedClaim(*item);
        transaction.writes.push_back(ClaimWrite{item->key, item->expected, item->record});
        commands.insert(item->key.command);
    }
    for (const CommandName &command : commands) {
        const auto floor = floors_.find(command);
        transaction.floors.push_back(floor == floors_.end() ? ClaimFloor{command, 0, 0} : floor->second);
    }
    ++counters_.commits;
    ++batchAttempts_;
    nextCommit_ = runtime_.now() + settings_.commitInterval;
    store_.commit(transaction, [this, alive = alive_](const Result<ClaimCommit> &result) {
        if (*alive) {
            onCommitFinished(result);
        }
    });
}

void ClaimPartition::onCommitFinished(const Result<ClaimCommit> &result)
{
    if (!result) {
        onCommitFailed(result.error());
    } else if (result->succeeded) {
        onCommitSucceeded(result->revision);
    } else {
        onConflict(*result);
    }
}

void ClaimPartition::onCommitSucceeded(std::int64_t revision)
{
    for (const ItemPtr &item : std::exchange(batch_, {})) {
        if (item->isRequest()) {
            grant(*item, revision);
        } else {
            ++counters_.outcomes;
            grantedClaims_.erase(item->key);
        }
    }
    schedule();
}

/// Answers the requests whose keys are already claimed. The remaining items are committed at once in a transaction of
/// their own, so that repeated requests for claimed keys do not delay them again.
void ClaimPartition::onConflict(const ClaimCommit &found)
{
    ++counters_.conflicts;
    for (const ClaimFloor &floor : found.floors) {
        floors_[floor.command] = floor;
    }
    std::map<ClaimKey, const StoredClaim *> claims;
    for (const StoredClaim &claim : found.claims) {
        claims[claim.key] = &claim;
    }
    for (ItemPtr &item : std::exchange(batch_, {})) {
        const auto claim = claims.find(item->key);
        if (!resolve(*item, claim == claims.end() ? nullptr : claim->second)) {
            continue;
        }
        if (item->attempts < settings_.maxAttempts) {
            batch_.push_back(std::move(item));
        } else {
            abandon(*item);
        }
    }
    mayHaveCommitted_ = false;
    batchAttempts_ = 0;
    if (batch_.empty()) {
        schedule();
    } else {
        commit();
    }
}

/// Returns true if the item must be retried.
bool ClaimPartition::resolve(Item &item, const StoredClaim *found)
{
    if (dropExpired(item)) {
        return false;
    }
    if (found != nullptr) {
        return item.isRequest() ? resolveRequest(item, *found) : resolveOutcome(item, *found);
    }
    if (!item.isRequest()) {
        ++counters_.outcomesDropped;
        return false;
    }
    item.expected = 0;
    return true;
}

bool ClaimPartition::resolveRequest(Item &item, const StoredClaim &found)
{
    const bool own = found.record.isSameRequest(item.record);
    if (own && found.record.state == ClaimState::Claimed) {
        grant(item, found.revision);
        return false;
    }
    if (own && found.record.state == ClaimState::Released) {
        reply(item, Errc::Cancelled);
        return false;
    }
    if (found.record.state == ClaimState::Released) {
        item.expected = found.revision;
        return true;
    }
    ++counters_.claimedElsewhere;
    reply(item, Errc::ClaimedElsewhere, &found.record);
    return false;
}

bool ClaimPartition::resolveOutcome(Item &item, const StoredClaim &found)
{
    if (found.record.nonce != item.record.nonce) {
        ++counters_.outcomesDropped;
        return false;
    }
    if (found.record.state != ClaimState::Claimed) {
        // Recorded by an earlier attempt whose reply was lost.
        ++counters_.outcomes;
        return false;
    }
    item.expected = found.revision;
    item.record.claimant = found.record.claimant;
    item.record.incarnation = found.record.incarnation;
    return true;
}

void ClaimPartition::onCommitFailed(const Failure &failure)
{
    const bool lost = failure.verdict != Verdict::NotRun;
    counters_.lostReplies += lost ? 1 : 0;
    mayHaveCommitted_ = mayHaveCommitted_ || lost;
    if (mayHaveCommitted_ && batchAttempts_ < settings_.maxAttempts) {
        timer_ = runtime_.schedule(settings_.retryDelay, [this] {
            timer_ = 0;
            commit();
        });
        return;
    }
    nextCommit_ = runtime_.now() + settings_.retryDelay;
    for (ItemPtr &item : std::exchange(batch_, {})) {
        if (item->isRequest() || item->attempts >= settings_.maxAttempts) {
            abandon(*item);
        } else {
            queue_.push_back(std::move(item));
        }
    }
    schedule();
}

void ClaimPartition::abandon(const Item &item)
{
    if (!item.isRequest()) {
        ++counters_.outcomesDropped;
        return;
    }
    ++counters_.refused;
    reply(item, Errc::Unavailable);
}

void ClaimPartition::grant(const Item &item, std::int64_t revision)
{
    ++counters_.granted;
    rememberGrant(item.key, GrantedClaim{revision, item.record});
    reply(item, Errc::Ok);
}

void ClaimPartition::reply(const Item &item, Errc code, const ClaimRecord *found)
{
    const bool known = found != nullptr && found->state == ClaimState::Ran;
    item.answer(ClaimAnswer{item.number, code, known, known ? found->outcome : std::string()});
}

void ClaimPartition::rememberGrant(const ClaimKey &key, GrantedClaim known)
{
    if (grantedClaims_.insert_or_assign(key, known).second) {
        grantedOrder_.push_back(key);
    }
    while (grantedOrder_.size() > settings_.maxRememberedClaims) {
        grantedClaims_.erase(grantedOrder_.front());
        grantedOrder_.pop_front();
    }
}

} // namespace Burdock
