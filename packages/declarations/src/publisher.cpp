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
constexpr Duration FirstPause = std::chrono::milliseconds(100);
constexpr Duration LongestPause = std::chrono::seconds(2);
} // namespace

/// One publish from its first read to its report. Keeps itself alive through its callbacks.
class Publisher::Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    Attempt(Publisher &publisher, PublishRequest request, Callback done)
        : runtime_(publisher.runtime_)
        , store_(publisher.store_)
        , reader_(publisher.reader_)
        , request_(std::move(request))
        , done_(std::move(done))
        , giveUp_(runtime_.now() + publisher.patience_)
    {
    }

    void readHead()
    {
        reader_.readHead([self = shared_from_this()](Result<StoredHead> head) {
            if (!head) {
                return self->retry(head.error());
            }
            self->headRead(std::move(*head));
        });
    }

private:
    void headRead(StoredHead current)
    {
        current_ = std::move(current);
        if (current_.head.version != request_.base) {
            return settleAgainstLater();
        }
        if (current_.head.hash == request_.set.hash() && current_.modRevision != 0) {
            return done_(PublishReport{PublishOutcome::Unchanged, current_.head.version, {}});
        }
        readCurrentSet([](Attempt &self, const DeclarationSet &from) { self.commit(from); });
    }

    /// Another version stands in the store; ours may still have come before it.
    void settleAgainstLater()
    {
        reader_.readAudit(request_.base + 1, request_.base + 1, [self = shared_from_this()](Result<std::vector<AuditRecord>> records) {
            if (!records) {
                return self->retry(records.error());
            }
            if (!records->empty() && records->front().publishId == self->request_.publishId) {
                self->diff_ = records->front().diff;
                return self->accepted(records->front().version);
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
        writeNext();
    }

    void writeNext()
    {
        if (plan_.ahead.empty()) {
            return writeChange();
        }
        StoreTransaction next = std::move(plan_.ahead.back());
        plan_.ahead.pop_back();
        store_.commit(std::move(next), [self = shared_from_this()](Result<StoreCommit> commit) {
            if (!commit) {
                return self->retry(commit.error());
            }
            self->writeNext();
        });
    }

    void writeChange()
    {
        store_.commit(std::move(plan_.change), [self = shared_from_this()](Result<StoreCommit> commit) {
            if (commit && commit->succeeded) {
                return self->accepted(self->current_.head.version + 1);
            }
            if (commit) {
                return self->readHead();
            }
            self->mayHaveRun_ = self->mayHaveRun_ || commit.error().verdict != Verdict::NotRun;
            self->retry(commit.error());
        });
    }

    void accepted(std::uint64_t version)
    {
        done_(PublishReport{PublishOutcome::Accepted, version, diff_});
    }

    /// Starts again from the head after a pause, which also settles a lost reply; gives up once patience is at its end.
    void retry(Failure failure)
    {
        const bool lasting = failure.code == Errc::BadRequest || failure.code == Errc::TooLarge;
        if (lasting || runtime_.now() + pause_ > giveUp_) {
            failure.verdict = mayHaveRun_ ? Verdict::MayHaveRun : Verdict::NotRun;
            return done_(tl::make_unexpected(std::move(failure)));
        }
        runtime_.schedule(pause_, [self = shared_from_this()] { self->readHead(); });
        pause_ = std::min(pause_ * 2, LongestPause);
    }

    Runtime &runtime_;
    Store &store_;
    ConfigReader &reader_;
    PublishRequest request_;
    Callback done_;
    TimePoint giveUp_;
    Duration pause_ = FirstPause;
    StoredHead current_;
    PublishPlan plan_;
    std::string diff_;
    bool mayHaveRun_ = false;
};

Publisher::Publisher(Runtime &runtime, Store &store, Duration patience)
    : runtime_(runtime)
    , store_(store)
    , reader_(store)
    , patience_(patience)
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
