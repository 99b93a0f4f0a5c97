#pragma once

#include <burdock/values/comparison.h>
#include <burdock/values/runtime.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Burdock
{

/// A key-value pair of the fake store with etcd's metadata.
struct StoredKey
{
    std::string key;
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;

    auto fields() const
    {
        return std::tie(key, value, createRevision, modRevision, version, lease);
    }
};

/// A change of one key; for a deletion, only key and modRevision are set.
struct StoredEvent
{
    bool deleted = false;
    StoredKey entry;
};

/// The key range of an etcd request: a single key if rangeEnd is empty, all keys from `key` on if rangeEnd is "\0", else
/// [key, rangeEnd).
struct KeySpan
{
    std::string key;
    std::string rangeEnd;

    bool contains(const std::string &candidate) const;
};

/// The result of a range read; `count` also includes entries beyond the limit.
struct RangeResult
{
    std::vector<StoredKey> entries;
    std::int64_t count = 0;
    bool more = false;
};

/// A condition of a transaction.
struct Compare
{
    enum class Target { Mod, Create, Version, Value, Lease };
    enum class Relation { Equal, NotEqual, Greater, Less };
    std::string key;
    Target target = Target::Mod;
    Relation relation = Relation::Equal;
    std::int64_t number = 0;
    std::string value;
};

/// One operation of a transaction.
struct Operation
{
    enum class Kind { Range, Put, Delete };
    Kind kind = Kind::Range;
    KeySpan span;
    std::string value;
    std::int64_t lease = 0;
    std::int64_t limit = 0;
};

/// The result of one operation.
struct OperationResult
{
    Operation::Kind kind = Operation::Kind::Range;
    RangeResult range;
    std::int64_t deleted = 0;
};

/// The result of a transaction; if it was refused, `error` is etcd's error message.
struct TransactionResult
{
    std::string error;
    bool succeeded = false;
    std::vector<OperationResult> responses;
};

/// The state of an etcd v3 store, without I/O: revisions, transactions, leases with expiry, and a bounded history.
class StoreState
{
public:
    /// Larger values are refused.
    static constexpr std::size_t MaxValueBytes = std::size_t{1} << 20;
    /// etcd's documented default limit of operations in one transaction.
    static constexpr std::size_t MaxOperations = 128;
    /// Changes older than this many revisions are compacted.
    static constexpr std::int64_t HistoryRevisions = 5000;

    using Listener = std::function<void(std::int64_t revision, const std::vector<StoredEvent> &events)>;

    explicit StoreState(Runtime &runtime);

    std::int64_t revision() const
    {
        return revision_;
    }

    RangeResult range(const KeySpan &span, std::int64_t limit) const;

    /// Runs `success` if all conditions hold, else `failure`; all writes share one revision.
    TransactionResult transact(const std::vector<Compare> &compares, const std::vector<Operation> &success, const std::vector<Operation> &failure);

    /// Grants a lease of `seconds`; id 0 lets the store choose one. Returns nothing if the id is in use.
    std::optional<std::int64_t> grantLease(std::int64_t id, std::int64_t seconds);

    /// Renews a lease and returns its time to live in seconds; 0 if the lease does not exist.
    std::int64_t keepLeaseAlive(std::int64_t id);

    /// Revokes a lease and deletes its keys. Returns false if the lease does not exist.
    bool revokeLease(std::int64_t id);

    /// Returns the changes since `firstRevision`, inclusive; nothing if some of them have been compacted.
    std::optional<std::vector<StoredEvent>> history(const KeySpan &span, std::int64_t firstRevision) const;

    /// The oldest revision still in the history.
    std::int64_t oldestRevision() const
    {
        return compacted_ + 1;
    }

    /// Discards the whole history.
    void compact();

    /// What a copy of the store holds.
    struct Copy
    {
        std::int64_t revision = 0;
        std::int64_t lastLease = 0;
        std::map<std::string, StoredKey> keys;
        /// The time to live of each lease, in seconds.
        std::map<std::int64_t, std::int64_t> leases;
    };
    Copy copy() const;

    /// Replaces the state by that of a copy, as a restoration does: revisions and lease ids go back and are given out again. Leases
    /// of the copy run anew.
    void restore(const Copy &copy);

    std::uint64_t addListener(Listener listener);
    void removeListener(std::uint64_t id);

private:
    struct Lease
    {
        std::int64_t seconds = 0;
        TimerId expiry = 0;
    };

    bool isTrue(const Compare &compare) const;
    std::string validate(const std::vector<Operation> &operations) const;
    OperationResult apply(const Operation &operation, std::int64_t revision, std::vector<StoredEvent> &events);
    void put(const Operation &operation, std::int64_t revision, std::vector<StoredEvent> &events);
    std::int64_t erase(const KeySpan &span, std::int64_t revision, std::vector<StoredEvent> &events);
    void publish(std::vector<StoredEvent> events);

    Runtime &runtime_;
    std::int64_t revision_ = 1;
    std::int64_t compacted_ = 0;
    std::int64_t lastLease_ = 0;
    std::uint64_t lastListener_ = 0;
    std::map<std::string, StoredKey> keys_;
    std::map<std::int64_t, Lease> leases_;
    std::deque<StoredEvent> history_;
    std::map<std::uint64_t, Listener> listeners_;
};

} // namespace Burdock
