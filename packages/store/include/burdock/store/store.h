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

/// One key of the configuration store.
struct StoreEntry
{
    std::string key;
    std::string value;
    /// The store's revision at the last change of this key.
    std::int64_t modRevision = 0;
    /// Zero where the key has no lease.
    std::int64_t lease = 0;
    /// In a watch: the key was deleted at modRevision.
    bool deleted = false;

    auto fields() const
    {
        return std::tie(key, value, modRevision, lease, deleted);
    }
};

/// Values above this many bytes are refused as TooLarge.
constexpr std::size_t MaxStoreValueBytes = std::size_t{1} << 20;

/// The conditions, and the writes, of one transaction are at most this many each; etcd's published default.
constexpr std::size_t MaxStoreOperations = 128;

/// What a read found.
struct StoreRange
{
    std::vector<StoreEntry> entries;
    /// The store's revision at the read.
    std::int64_t revision = 0;
};

/// The condition of a conditional write: the key's modRevision; 0 means that the key does not exist.
struct StoreCondition
{
    std::string key;
    std::int64_t modRevision = 0;
};

/// One write of a transaction; no value deletes the key.
struct StoreWrite
{
    std::string key;
    std::optional<std::string> value;
    std::int64_t lease = 0;
    /// With no value: deletes all keys from `key` on that stand before this one.
    std::string deleteEnd{};
};

/// Writes that happen together if all conditions hold, or not at all.
struct StoreTransaction
{
    std::vector<StoreCondition> conditions;
    std::vector<StoreWrite> writes;
    /// Keys read in the same step where a condition fails.
    std::vector<std::string> readOnConflict;
};

/// How a transaction onEnded.
struct StoreCommit
{
    bool succeeded = false;
    std::int64_t revision = 0;
    /// The values of `readOnConflict` where it did not succeed.
    std::vector<StoreEntry> current;
};

/// The platform's key-value store. Every call is counted against its rate limits.
///
/// A failed write's verdict tells whether it may have taken effect: MayHaveRun after a lost reply. A failed read
/// is always NotRun. Callbacks are never called from within the call.
class Store
{
public:
    virtual ~Store() = default;

    template<class T>
    using Callback = std::function<void(Result<T>)>;

    /// Reads one key, or, where `prefix` holds, all keys that begin with it, up to `limit` (0: all).
    virtual void range(const std::string &key, bool prefix, std::int64_t limit, Callback<StoreRange> done) = 0;

    virtual void commit(StoreTransaction transaction, Callback<StoreCommit> done) = 0;

    /// A lease of so many seconds; gives its id.
    virtual void grantLease(std::int64_t seconds, Callback<std::int64_t> done) = 0;

    /// Renews a lease; gives its seconds, or NotFound where it is gone.
    virtual void keepLeaseAlive(std::int64_t lease, Callback<std::int64_t> done) = 0;

    /// Ends a lease and deletes its keys; gives its id.
    virtual void revokeLease(std::int64_t lease, Callback<std::int64_t> done) = 0;

    /// Calls `onChanged` for every change of the key or prefix after `fromRevision`, until unwatched;
    /// `onEnded` once when the watch breaks, and it must be started anew. WrongVersion says that changes after
    /// `fromRevision` are compacted: read the range first, then watch from its revision.
    virtual std::uint64_t watch(const std::string &key,
                                bool prefix,
                                std::int64_t fromRevision,
                                std::function<void(const StoreEntry &)> onChanged,
                                std::function<void(const Failure &)> onEnded) = 0;
    virtual void unwatch(std::uint64_t watch) = 0;
};

} // namespace Burdock
