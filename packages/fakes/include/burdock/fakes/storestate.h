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

/// One key of the stand-in store, with etcd's numbers.
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

/// One change; a deletion carries only key and modRevision.
struct StoredEvent
{
    bool deleted = false;
    StoredKey entry;
};

/// The keys of an etcd request: one key, [key, rangeEnd), or, with "\0" as rangeEnd, all from key on.
struct KeySpan
{
    std::string key;
    std::string rangeEnd;

    bool contains(const std::string &candidate) const;
};

/// What a read found.
struct RangeResult
{
    std::vector<StoredKey> entries;
    std::int64_t count = 0;
    bool more = false;
};

/// The condition of a transaction.
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

/// What one operation gave.
struct OperationResult
{
    Operation::Kind kind = Operation::Kind::Range;
    RangeResult range;
    std::int64_t deleted = 0;
};

/// What a transaction gave; `error` is etcd's text where it was refused.
struct TransactionResult
{
    std::string error;
    bool succeeded = false;
    std::vector<OperationResult> responses;
};

/// The state of an etcd v3 store, free of I/O: revisions, transactions, leases with expiry, and a bounded history.
class StoreState
{
public:
    /// Values above this many bytes are refused.
    static constexpr std::size_t LargestValue = std::size_t{1} << 20;
    /// etcd's published default for the operations of one transaction.
    static constexpr std::size_t MostOperations = 128;
    /// Changes older than this many revisions are compacted.
    static constexpr std::int64_t HistoryRevisions = 5000;

    using Listener = std::function<void(std::int64_t revision, const std::vector<StoredEvent> &events)>;

    explicit StoreState(Runtime &runtime);

    std::int64_t revision() const
    {
        return revision_;
    }

    RangeResult range(const KeySpan &span, std::int64_t limit) const;

    /// Runs `success` where all conditions hold, else `failure`; all its writes share one revision.
    TransactionResult transact(const std::vector<Compare> &compares, const std::vector<Operation> &success, const std::vector<Operation> &failure);

    /// A new lease; id 0 lets the store choose. Nothing where the id is taken.
    std::optional<std::int64_t> grantLease(std::int64_t id, std::int64_t seconds);

    /// The renewed time to live in seconds; 0 where there is no such lease.
    std::int64_t keepLeaseAlive(std::int64_t id);

    /// Ends a lease and deletes its keys; false where there is no such lease.
    bool revokeLease(std::int64_t id);

    /// Changes from `firstRevision` on; nothing where part of them is compacted.
    std::optional<std::vector<StoredEvent>> history(const KeySpan &span, std::int64_t firstRevision) const;

    /// The lowest revision that the history still tells of.
    std::int64_t oldestRevision() const
    {
        return compacted_ + 1;
    }

    /// Drops all history.
    void compact();

    std::uint64_t addListener(Listener listener);
    void removeListener(std::uint64_t id);

private:
    struct Lease
    {
        std::int64_t seconds = 0;
        TimerId expiry = 0;
    };

    bool holds(const Compare &compare) const;
    std::string refusal(const std::vector<Operation> &operations) const;
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
