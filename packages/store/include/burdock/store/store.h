#pragma once

#include <burdock/values/failure.h>
#include <burdock/values/runtime.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Burdock
{

/// One key of the configuration store and its value.
struct StoreEntry
{
    std::string key;
    std::string value;
    /// The store's revision at the last change to this key. Revisions never go back, see StoreHistory.
    std::int64_t modRevision = 0;
    /// The id of the key's lease; zero if it has none.
    std::int64_t lease = 0;
    /// In a watch event: whether the key was deleted at modRevision.
    bool deleted = false;

    auto fields() const
    {
        return std::tie(key, value, modRevision, lease, deleted);
    }
};

/// The maximum size of a value in bytes; larger values are rejected with TooLarge.
constexpr std::size_t MaxStoreValueBytes = std::size_t{1} << 20;

/// The maximum number of conditions, of writes and of conflict reads in one transaction, each; etcd's documented default.
constexpr std::size_t MaxStoreOperations = 128;

/// The result of a range read.
struct StoreRange
{
    std::vector<StoreEntry> entries;
    /// The store's revision at the read.
    std::int64_t revision = 0;
};

/// A condition of a transaction: the expected modRevision of a key; 0 means that the key does not exist.
struct StoreCondition
{
    std::string key;
    std::int64_t modRevision = 0;
};

/// One write of a transaction. Without a value it deletes the key.
struct StoreWrite
{
    std::string key;
    std::optional<std::string> value;
    std::int64_t lease = 0;
    /// Without a value: the exclusive end of the key range to delete, which begins at `key`.
    std::string deleteEnd{};
};

/// Writes that are applied atomically if all conditions hold, and not at all otherwise.
struct StoreTransaction
{
    std::vector<StoreCondition> conditions;
    std::vector<StoreWrite> writes;
    /// Keys that are read in the same transaction if a condition fails.
    std::vector<std::string> readOnConflict;
};

/// The result of a transaction.
struct StoreCommit
{
    bool succeeded = false;
    std::int64_t revision = 0;
    /// The entries of `readOnConflict` if the transaction did not succeed.
    std::vector<StoreEntry> current;
};

/// The platform's key-value store. Every call counts against the store's rate limits.
///
/// The verdict of a failed write says whether it may have taken effect, for example MayHaveRun after a lost reply.
/// A failed read is always NotRun. Callbacks are never invoked from within the call itself.
class Store
{
public:
    virtual ~Store() = default;

    template<class T>
    using Callback = std::function<void(Result<T>)>;

    /// Reads one key or, if `prefix` is set, up to `limit` keys that begin with it (0: all).
    virtual void range(const std::string &key, bool prefix, std::int64_t limit, Callback<StoreRange> done) = 0;

    /// Commits a transaction. A failed condition is reported as a StoreCommit with `succeeded` false, not as a failure.
    virtual void commit(StoreTransaction transaction, Callback<StoreCommit> done) = 0;

    /// Grants a lease with the given lifetime in seconds; the result is its id.
    virtual void grantLease(std::int64_t seconds, Callback<std::int64_t> done) = 0;

    /// Renews a lease; the result is its lifetime in seconds, or NotFound if it has expired.
    virtual void keepLeaseAlive(std::int64_t lease, Callback<std::int64_t> done) = 0;

    /// Revokes a lease and deletes its keys; the result is its id.
    virtual void revokeLease(std::int64_t lease, Callback<std::int64_t> done) = 0;

    /// Calls `onChanged` for every change to the key or prefix after `fromRevision`, until `unwatch` is called.
    /// Calls `onEnded` once if the watch breaks; it must then be started again. WrongVersion means that changes after
    /// `fromRevision` are not available, since they were compacted or the store was restored from a copy: read the range
    /// first, then watch from its revision.
    virtual std::uint64_t watch(const std::string &key,
                                bool prefix,
                                std::int64_t fromRevision,
                                std::function<void(const StoreEntry &)> onChanged,
                                std::function<void(const Failure &)> onEnded) = 0;

    /// Called with the time up to which a watch has reported all changes.
    using AnswerHandler = std::function<void(TimePoint completeUntil)>;

    /// Sets a function that is called when the store answers for a watch, also without a change: under a key that hardly
    /// changes nothing else tells that the store can be reached again, or how old the data are. A store that cannot tell never
    /// calls it.
    virtual void setAnswerHandler(std::uint64_t /*watch*/, const AnswerHandler & /*onAnswered*/)
    {
    }

    /// Asks for an answer to each watch at least this often while the store can be reached. Shorter intervals cost calls.
    virtual void setAnswerInterval(Duration /*interval*/)
    {
    }

    virtual void unwatch(std::uint64_t watch) = 0;
};

} // namespace Burdock
