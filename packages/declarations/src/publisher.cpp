#include <burdock/declarations/publisher.h>

#include <burdock/declarations/checkdeclarations.h>
#include <burdock/declarations/setdiff.h>

#include "publishplan.h"

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{
constexpr Duration InitialRetryDelay = std::chrono::milliseconds(100);
constexpr Duration MaxRetryDelay = std::chrono::seconds(2);
} // namespace

/// One publish, from the first read of the head to the report. Its callbacks keep it alive.
class Publisher::Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    Attempt(Publisher &publisher, PublishRequest request, Callback done)
        : runtime_(publisher.runtime_)
        , store_(publisher.store_)
        , reader_(publisher.reader_)
        , request_(std::move(request))
        , done_(std::move(done))
        , deadline_(runtime_.now() + publisher.timeout_)
    {
    }

    void readHead()
    {
        reader_.readHead([self = shared_from_this()](Result<StoredHead> head) {
            if (!head) {
                return self->retry(head.error());
            }
            self->onHeadRead(std::move(*head));
        });
    }

private:
    void onHeadRead(StoredHead current)
    {
        current_ = std::move(current);
        if (current_.head.version != request_.base) {
            return findInAudit();
        }
        if (current_.head.hash == request_.set.hash() && current_.modRevision != 0) {
            return done_(PublishReport{PublishOutcome::Unchanged, current_.head.version, {}});
        }
        readCurrentSet([](Attempt &self, const DeclarationSet &from) { self.commit(from); });
    }

    /// Called if the store has another version than the base. The audit record of the version after the base shows
    /// whether this publish was accepted before the store's version; otherwise it is a conflict.
    void findInAudit()
    {
        reader_.readAudit(request_.base + 1, request_.base + 1, [self = shared_from_this()](Result<std::vector<AuditRecord>> records) {
            if (!records) {
                return self->retry(records.error());
            }
            if (!records->empty() && records->front().publishId == self->request_.publishId) {
                self->diff_ = records->front().diff;
                return self->reportAccepted(records->front().version);
            }
            self->readCurrentSet([](Attempt &attempt, const DeclarationSet &from) {
                attempt.done_(PublishReport{PublishOutcome::Conflict, attempt.current_.head.version, diffText(from, attempt.request_.set)});
            });
        });
    }

    void readCurrentSet(void (*next)(Attempt &, const DeclarationSet &))
    {
        reader_.readFiles(current_.head, request_.set, [self = shared_from_this(), next](Result<DeclarationSet> set) {
            if (!set) {
                return self->retry(set.error());
            }
            next(*self, *set);
        });
    }

    void commit(const DeclarationSet &from)
    {
        diff_ = diffText(from, request_.set);
        auto plan = planPublish(request_, current_, from, timestampText(runtime_.wallNow()));
        if (!plan) {
            return done_(tl::make_unexpected(plan.error()));
        }
        plan_ = std::move(*plan);
        writeNextTransaction();
    }

    void writeNextTransaction()
    {
        if (plan_.fileTransactions.empty()) {
            return writeHeadTransaction();
        }
        StoreTransaction next = std::move(plan_.fileTransactions.back());
        plan_.fileTransactions.pop_back();
        store_.commit(std::move(next), [self = shared_from_this()](Result<StoreCommit> commit) {
            if (!commit) {
                return self->retry(commit.error());
            }
            self->writeNextTransaction();
        });
    }

    void writeHeadTransaction()
    {
        store_.commit(std::move(plan_.headTransaction), [self = shared_from_this()](Result<StoreCommit> commit) {
            if (commit && commit->succeeded) {
                return self->reportAccepted(self->current_.head.version + 1);
            }
            if (commit) {
                return self->readHead();
            }
            self->mayHaveRun_ = self->mayHaveRun_ || commit.error().verdict != Verdict::NotRun;
            self->retry(commit.error());
        });
    }

    void reportAccepted(std::uint64_t version)
    {
        done_(PublishReport{PublishOutcome::Accepted, version, diff_});
    }

    /// Starts again from the head after a delay, which also finds out the outcome of a lost reply. Fails at the deadline
    /// and on permanent errors.
    void retry(Failure failure)
    {
        const bool isPermanent = failure.code == Errc::BadRequest || failure.code == Errc::TooLarge;
        if (isPermanent || runtime_.now() + retryDelay_ > deadline_) {
            failure.verdict = mayHaveRun_ ? Verdict::MayHaveRun : Verdict::NotRun;
            return done_(tl::make_unexpected(std::move(failure)));
        }
        runtime_.schedule(retryDelay_, [self = shared_from_this()] { self->readHead(); });
        retryDelay_ = std::min(retryDelay_ * 2, MaxRetryDelay);
    }

    Runtime &runtime_;
    Store &store_;
    ConfigReader &reader_;
    PublishRequest request_;
    Callback done_;
    TimePoint deadline_;
    Duration retryDelay_ = InitialRetryDelay;
    StoredHead current_;
    PublishPlan plan_;
    std::string diff_;
    bool mayHaveRun_ = false;
};

Publisher::Publisher(Runtime &runtime, Store &store, Duration timeout)
    : runtime_(runtime)
    , store_(store)
    , reader_(store)
    , timeout_(timeout)
{
}

void Publisher::publish(PublishRequest request, Callback done)
{
    const auto checked = checkDeclarations(request.set, request.base + 1);
    if (!checked) {
        const DeclarationFaults &faults = checked.error();
        return done(notRun(Errc::BadRequest, std::to_string(faults.size()) + " faults, the first: " + faults.front().toString()));
    }
    if (request.publishId.empty() || request.who.empty() || request.why.empty()) {
        return done(notRun(Errc::BadRequest, "a publish needs an id, who publishes and why"));
    }
    std::make_shared<Attempt>(*this, std::move(request), std::move(done))->readHead();
}

} // namespace Burdock
