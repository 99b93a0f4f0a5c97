#pragma once

#include <burdock/store/store.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Burdock
{

/// A fake store whose calls the test answers explicitly.
class ManualStore final : public Store
{
public:
    struct Watch
    {
        std::string key;
        std::int64_t from = 0;
        std::function<void(const StoreEntry &)> changed;
        std::function<void(const Failure &)> ended;
        AnswerHandler answered{};
    };

    void range(const std::string &, bool, std::int64_t, Callback<StoreRange> done) override
    {
        ranges.push_back(std::move(done));
    }
    void commit(StoreTransaction transaction, Callback<StoreCommit> done) override
    {
        written.push_back(transaction.writes.front());
        commits.push_back(std::move(done));
    }
    void grantLease(std::int64_t, Callback<std::int64_t> done) override
    {
        grants.push_back(std::move(done));
    }
    void keepLeaseAlive(std::int64_t lease, Callback<std::int64_t> done) override
    {
        renewedLeases.push_back(lease);
        renewals.push_back(std::move(done));
    }
    void revokeLease(std::int64_t lease, Callback<std::int64_t>) override
    {
        revoked.push_back(lease);
    }
    std::uint64_t
    watch(const std::string &key, bool, std::int64_t from, std::function<void(const StoreEntry &)> changed, std::function<void(const Failure &)> ended) override
    {
        watches[++last_] = {key, from, std::move(changed), std::move(ended)};
        return last_;
    }
    void setAnswerHandler(std::uint64_t watch, const AnswerHandler &onAnswered) override
    {
        watches.at(watch).answered = onAnswered;
    }
    void unwatch(std::uint64_t watch) override
    {
        watches.erase(watch);
    }

    /// Answers the oldest pending call in `calls`.
    template<class T>
    void reply(std::vector<Callback<T>> &calls, Result<T> result)
    {
        const auto done = calls.front();
        calls.erase(calls.begin());
        done(std::move(result));
    }

    /// Ends the only watch.
    void endWatch(Errc code)
    {
        auto node = watches.extract(watches.begin());
        node.mapped().ended(Failure{code, Verdict::NotRun, "ended", Duration{0}});
    }

    std::vector<Callback<StoreRange>> ranges;
    std::vector<Callback<StoreCommit>> commits;
    std::vector<Callback<std::int64_t>> grants;
    std::vector<Callback<std::int64_t>> renewals;
    std::vector<std::int64_t> renewedLeases;
    std::vector<StoreWrite> written;
    std::vector<std::int64_t> revoked;
    std::map<std::uint64_t, Watch> watches;

private:
    std::uint64_t last_ = 0;
};

} // namespace Burdock
