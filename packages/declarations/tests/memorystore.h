#pragma once

#include <burdock/store/store.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <utility>

namespace Burdock
{

/// The fault that is injected into a call.
enum class CallFault {
    None,
    /// Refused without effect, and the caller is notified.
    Refused,
    /// The request is lost; the caller times out.
    LostRequest,
    /// Takes effect, but the reply is lost.
    LostReply,
    /// Takes effect long after the caller's timeout.
    LateEffect,
};

/// An in-memory store on the test's clock. Faults are set per call, in order.
class MemoryStore final : public Store
{
public:
    static constexpr Duration Latency = std::chrono::milliseconds(1);
    static constexpr Duration Timeout = std::chrono::milliseconds(500);
    static constexpr Duration LateEffectDelay = std::chrono::milliseconds(700);

    explicit MemoryStore(Runtime &runtime)
        : runtime_(runtime)
    {
    }

    /// The faults of the next commits with writes; commits after them have none.
    std::deque<CallFault> commitFaults;
    /// While true, calls fail and new watches end.
    bool outage = false;
    /// The number of calls; each watch counts once.
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t bytesRead = 0;
    /// Called after every commit that took effect.
    std::function<void()> onApplied;

    const std::map<std::string, StoreEntry> &entries() const
    {
        return entries_;
    }

    /// Starts an outage: calls fail and all watches end.
    void beginOutage()
    {
        outage = true;
        auto watchers = std::move(watchers_);
        watchers_.clear();
        for (const auto &[id, watcher] : watchers) {
            runtime_.schedule(Latency, [onEnded = watcher.onEnded] { onEnded(failure(Verdict::NotRun)); });
        }
    }

    std::size_t openWatches() const
    {
        return watchers_.size();
    }

    void range(const std::string &key, bool prefix, std::int64_t limit, Callback<StoreRange> done) override
    {
        ++reads;
        if (outage) {
            return fail(done, Verdict::NotRun, Latency);
        }
        StoreRange found;
        found.revision = revision_;
        for (auto entry = entries_.lower_bound(key); entry != entries_.end() && entry->first.compare(0, key.size(), key) == 0; ++entry) {
            if ((prefix || entry->first == key) && (limit == 0 || found.entries.size() < static_cast<std::size_t>(limit))) {
                found.entries.push_back(entry->second);
                bytesRead += entry->second.value.size();
            }
        }
        runtime_.schedule(2 * Latency, [done, found] { done(found); });
    }

    void commit(StoreTransaction transaction, Callback<StoreCommit> done) override
    {
        ++(transaction.writes.empty() ? reads : writes);
        CallFault fault = CallFault::None;
        if (!transaction.writes.empty() && !commitFaults.empty()) {
            fault = commitFaults.front();
            commitFaults.pop_front();
        }
        if (outage || fault == CallFault::Refused) {
            return fail(done, Verdict::NotRun, Latency);
        }
        switch (fault) {
        case CallFault::LostRequest:
            return fail(done, Verdict::MayHaveRun, Timeout);
        case CallFault::LostReply:
            runtime_.schedule(Latency, [this, transaction] { apply(transaction); });
            return fail(done, Verdict::MayHaveRun, Timeout);
        case CallFault::LateEffect:
            runtime_.schedule(LateEffectDelay, [this, transaction] { apply(transaction); });
            return fail(done, Verdict::MayHaveRun, Timeout);
        default:
            runtime_.schedule(Latency, [this, transaction, done] {
                auto commit = apply(transaction);
                runtime_.schedule(Latency, [done, commit] { done(commit); });
            });
        }
    }

    void grantLease(std::int64_t, Callback<std::int64_t> done) override
    {
        fail(done, Verdict::NotRun, Latency);
    }
    void keepLeaseAlive(std::int64_t, Callback<std::int64_t> done) override
    {
        fail(done, Verdict::NotRun, Latency);
    }
    void revokeLease(std::int64_t, Callback<std::int64_t> done) override
    {
        fail(done, Verdict::NotRun, Latency);
    }

    std::uint64_t watch(const std::string &key,
                        bool prefix,
                        std::int64_t fromRevision,
                        std::function<void(const StoreEntry &)> onChanged,
                        std::function<void(const Failure &)> onEnded) override
    {
        ++watches;
        const std::uint64_t id = ++lastWatch_;
        if (outage) {
            runtime_.schedule(Latency, [onEnded] { onEnded(failure(Verdict::NotRun)); });
            return id;
        }
        for (const auto &[name, entry] : entries_) {
            if (matches(name, key, prefix) && entry.modRevision > fromRevision) {
                runtime_.schedule(Latency, [onChanged, entry = entry] { onChanged(entry); });
            }
        }
        watchers_.emplace(id, Watcher{key, prefix, std::move(onChanged), std::move(onEnded)});
        return id;
    }

    void unwatch(std::uint64_t watch) override
    {
        watchers_.erase(watch);
    }

private:
    struct Watcher
    {
        std::string key;
        bool prefix;
        std::function<void(const StoreEntry &)> onChanged;
        std::function<void(const Failure &)> onEnded;
    };

    static Failure failure(Verdict verdict)
    {
        return {Errc::Unavailable, verdict, "the store does not answer", Duration{0}};
    }

    static bool matches(const std::string &name, const std::string &key, bool prefix)
    {
        return prefix ? name.compare(0, key.size(), key) == 0 : name == key;
    }

    template<class T>
    void fail(const Callback<T> &done, Verdict verdict, Duration after)
    {
        runtime_.schedule(after, [done, verdict] { done(tl::make_unexpected(failure(verdict))); });
    }

    StoreCommit apply(const StoreTransaction &transaction)
    {
        const bool holds = std::all_of(transaction.conditions.begin(), transaction.conditions.end(), [this](const StoreCondition &condition) {
            const auto entry = entries_.find(condition.key);
            return condition.modRevision == (entry == entries_.end() ? 0 : entry->second.modRevision);
        });
        StoreCommit commit{holds, revision_, {}};
        if (!holds) {
            for (const std::string &key : transaction.readOnConflict) {
                if (const auto entry = entries_.find(key); entry != entries_.end()) {
                    commit.current.push_back(entry->second);
                    bytesRead += entry->second.value.size();
                }
            }
            return commit;
        }
        commit.revision = ++revision_;
        for (const StoreWrite &write : transaction.writes) {
            entries_[write.key] = {write.key, *write.value, revision_, write.lease};
            for (const auto &[id, watcher] : watchers_) {
                if (matches(write.key, watcher.key, watcher.prefix)) {
                    notify(id, entries_[write.key]);
                }
            }
        }
        if (onApplied) {
            onApplied();
        }
        return commit;
    }

    void notify(std::uint64_t id, const StoreEntry &entry)
    {
        runtime_.schedule(Latency, [this, id, entry] {
            if (const auto watcher = watchers_.find(id); watcher != watchers_.end()) {
                bytesRead += entry.value.size();
                const auto onChanged = watcher->second.onChanged;
                onChanged(entry);
            }
        });
    }

    Runtime &runtime_;
    std::map<std::string, StoreEntry> entries_;
    std::int64_t revision_ = 1;
    std::map<std::uint64_t, Watcher> watchers_;
    std::uint64_t lastWatch_ = 0;
};

} // namespace Burdock
