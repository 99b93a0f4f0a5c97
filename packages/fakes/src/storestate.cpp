#include <burdock/fakes/storestate.h>

#include <algorithm>
#include <set>

namespace Burdock
{

namespace
{

template<class T>
bool compareValues(const T &a, Compare::Relation relation, const T &b)
{
    switch (relation) {
    case Compare::Relation::Equal:
        return a == b;
    case Compare::Relation::NotEqual:
        return a != b;
    case Compare::Relation::Greater:
        return a > b;
    case Compare::Relation::Less:
        return a < b;
    }
    return false;
}

const std::string WholeRangeEnd(1, '\0');

} // namespace

bool KeySpan::contains(const std::string &candidate) const
{
    if (rangeEnd.empty()) {
        return candidate == key;
    }
    return candidate >= key && (rangeEnd == WholeRangeEnd || candidate < rangeEnd);
}

StoreState::StoreState(Runtime &runtime)
    : runtime_(runtime)
{
}

RangeResult StoreState::range(const KeySpan &span, std::int64_t limit) const
{
    RangeResult result;
    for (auto entry = keys_.lower_bound(span.key); entry != keys_.end() && span.contains(entry->first); ++entry) {
        ++result.count;
        if (limit <= 0 || result.count <= limit) {
            result.entries.push_back(entry->second);
        }
    }
    result.more = result.count > static_cast<std::int64_t>(result.entries.size());
    return result;
}

bool StoreState::isTrue(const Compare &compare) const
{
    const auto found = keys_.find(compare.key);
    const bool exists = found != keys_.end();
    const StoredKey entry = exists ? found->second : StoredKey{};
    switch (compare.target) {
    case Compare::Target::Mod:
        return compareValues(entry.modRevision, compare.relation, compare.number);
    case Compare::Target::Create:
        return compareValues(entry.createRevision, compare.relation, compare.number);
    case Compare::Target::Version:
        return compareValues(entry.version, compare.relation, compare.number);
    case Compare::Target::Lease:
        return compareValues(entry.lease, compare.relation, compare.number);
    case Compare::Target::Value:
        return exists && compareValues(entry.value, compare.relation, compare.value);
    }
    return false;
}

std::string StoreState::validate(const std::vector<Operation> &operations) const
{
    if (operations.size() > MaxOperations) {
        return "etcdserver: too many operations in txn request";
    }
    std::set<std::string> written;
    for (const Operation &operation : operations) {
        if (operation.kind != Operation::Kind::Put) {
            continue;
        }
        if (operation.span.key.empty()) {
            return "etcdserver: key is not provided";
        }
        if (operation.value.size() > MaxValueBytes) {
            return "etcdserver: request is too large";
        }
        if (!written.insert(operation.span.key).second) {
            return "etcdserver: duplicate key given in txn request";
        }
        if (operation.lease != 0 && leases_.count(operation.lease) == 0) {
            return "etcdserver: requested lease not found";
        }
    }
    return {};
}

TransactionResult StoreState::transact(const std::vector<Compare> &compares, const std::vector<Operation> &success, const std::vector<Operation> &failure)
{
    TransactionResult result;
    result.succeeded = std::all_of(compares.begin(), compares.end(), [this](const Compare &compare) { return isTrue(compare); });
    result.error = compares.size() > MaxOperations ? "etcdserver: too many operations in txn request" : validate(success);
    if (result.error.empty()) {
        result.error = validate(failure);
    }
    if (!result.error.empty()) {
        return result;
    }
    std::vector<StoredEvent> events;
    for (const Operation &operation : result.succeeded ? success : failure) {
        result.responses.push_back(apply(operation, revision_ + 1, events));
    }
    publish(std::move(events));
    return result;
}

OperationResult StoreState::apply(const Operation &operation, std::int64_t revision, std::vector<StoredEvent> &events)
{
    OperationResult result;
    result.kind = operation.kind;
    switch (operation.kind) {
    case Operation::Kind::Range:
        result.range = range(operation.span, operation.limit);
        break;
    case Operation::Kind::Put:
        put(operation, revision, events);
        break;
    case Operation::Kind::Delete:
        result.deleted = erase(operation.span, revision, events);
        break;
    }
    return result;
}

void StoreState::put(const Operation &operation, std::int64_t revision, std::vector<StoredEvent> &events)
{
    StoredKey &entry = keys_[operation.span.key];
    entry.key = operation.span.key;
    entry.value = operation.value;
    entry.createRevision = entry.version == 0 ? revision : entry.createRevision;
    entry.modRevision = revision;
    entry.lease = operation.lease;
    ++entry.version;
    events.push_back(StoredEvent{false, entry});
}

std::int64_t StoreState::erase(const KeySpan &span, std::int64_t revision, std::vector<StoredEvent> &events)
{
    std::int64_t deleted = 0;
    auto entry = keys_.lower_bound(span.key);
    while (entry != keys_.end() && span.contains(entry->first)) {
        StoredKey gone;
        gone.key = entry->first;
        gone.modRevision = revision;
        events.push_back(StoredEvent{true, std::move(gone)});
        entry = keys_.erase(entry);
        ++deleted;
    }
    return deleted;
}

void StoreState::publish(std::vector<StoredEvent> events)
{
    if (events.empty()) {
        return;
    }
    ++revision_;
    history_.insert(history_.end(), events.begin(), events.end());
    compacted_ = std::max(compacted_, revision_ - HistoryRevisions);
    while (!history_.empty() && history_.front().entry.modRevision <= compacted_) {
        history_.pop_front();
    }
    const auto listeners = listeners_;
    for (const auto &listener : listeners) {
        listener.second(revision_, events);
    }
}

std::optional<std::int64_t> StoreState::grantLease(std::int64_t id, std::int64_t seconds)
{
    if (id == 0) {
        id = ++lastLease_;
    }
    if (leases_.count(id) != 0) {
        return std::nullopt;
    }
    lastLease_ = std::max(lastLease_, id);
    leases_[id] = Lease{std::max<std::int64_t>(seconds, 1), 0};
    keepLeaseAlive(id);
    return id;
}

std::int64_t StoreState::keepLeaseAlive(std::int64_t id)
{
    const auto lease = leases_.find(id);
    if (lease == leases_.end()) {
        return 0;
    }
    runtime_.cancel(lease->second.expiry);
    lease->second.expiry = runtime_.schedule(std::chrono::seconds(lease->second.seconds), [this, id] { revokeLease(id); });
    return lease->second.seconds;
}

bool StoreState::revokeLease(std::int64_t id)
{
    const auto lease = leases_.find(id);
    if (lease == leases_.end()) {
        return false;
    }
    runtime_.cancel(lease->second.expiry);
    leases_.erase(lease);
    std::vector<std::string> bound;
    for (const auto &entry : keys_) {
        if (entry.second.lease == id) {
            bound.push_back(entry.first);
        }
    }
    std::vector<StoredEvent> events;
    for (const std::string &key : bound) {
        erase(KeySpan{key, {}}, revision_ + 1, events);
    }
    publish(std::move(events));
    return true;
}

std::optional<std::vector<StoredEvent>> StoreState::history(const KeySpan &span, std::int64_t firstRevision) const
{
    if (firstRevision <= compacted_ || firstRevision > revision_ + 1) {
        return std::nullopt;
    }
    std::vector<StoredEvent> events;
    for (const StoredEvent &event : history_) {
        if (event.entry.modRevision >= firstRevision && span.contains(event.entry.key)) {
            events.push_back(event);
        }
    }
    return events;
}

void StoreState::compact()
{
    compacted_ = revision_;
    history_.clear();
}

StoreState::Copy StoreState::copy() const
{
    Copy copy{revision_, lastLease_, keys_, {}};
    for (const auto &[id, lease] : leases_) {
        copy.leases[id] = lease.seconds;
    }
    return copy;
}

void StoreState::restore(const Copy &copy)
{
    for (const auto &[id, lease] : leases_) {
        runtime_.cancel(lease.expiry);
    }
    leases_.clear();
    revision_ = copy.revision;
    compacted_ = copy.revision;
    lastLease_ = copy.lastLease;
    keys_ = copy.keys;
    history_.clear();
    for (const auto &[id, seconds] : copy.leases) {
        leases_[id] = Lease{seconds, 0};
        keepLeaseAlive(id);
    }
}

std::uint64_t StoreState::addListener(Listener listener)
{
    listeners_[++lastListener_] = std::move(listener);
    return lastListener_;
}

void StoreState::removeListener(std::uint64_t id)
{
    listeners_.erase(id);
}

} // namespace Burdock
