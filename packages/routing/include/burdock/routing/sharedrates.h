#pragma once

#include <burdock/routing/rateholder.h>
#include <burdock/routing/ratepart.h>
#include <burdock/values/failure.h>

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace Burdock
{

/// What an instance's requests met at one limit since the report before.
struct RateReport
{
    std::string name;
    RateTerms terms;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    /// Tokens from the holder, those that were wanted beyond them, and those that were not used in time.
    std::uint64_t granted = 0;
    std::uint64_t unmet = 0;
    std::uint64_t expired = 0;
    std::uint64_t givenBack = 0;
    /// Where the tokens come from: the holder, or empty for the instance's own part.
    InstanceId holder;
    /// The part of all rates that the holder has, or this instance.
    double part = 0;
};

/// Sums over all limits and the whole life of the process.
struct RateCounters
{
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t waited = 0;
    std::uint64_t asks = 0;
    std::uint64_t asksFailed = 0;
    std::uint64_t holderChanges = 0;
};

/// Holds requests to limits that all instances share.
///
/// Load: callers of one workspace who come to one instance of many should have its whole rate, and no instance knows what the others
/// admit. Every sender owns an equal part of every rate. It lends it to a holder, which gives it out again as tokens to whichever instance
/// has requests; a token expires soon. An instance whose holder is lost takes its part back when the loan ends, and lends it to the next.
///
/// Without limits there are no messages and no timers.
class SharedRates final : public RateLimiter
{
public:
    /// Sends a message to another instance. The callback is not called from within.
    using Send = std::function<void(const InstanceId &to, const RateAsk &ask, std::function<void(const Result<RateReply> &)> done)>;
    using ReportHandler = std::function<void(const RateReport &)>;
    /// Called with the holder, empty if there is none, and the reason for the change.
    using HolderHandler = std::function<void(const InstanceId &holder, const char *reason)>;

    /// `life` identifies this process among all lives of the instance. `confirmedAt` returns when the store last confirmed this
    /// instance's record.
    SharedRates(Runtime &runtime,
                const InstanceId &self,
                const RateAllowance &allowance,
                std::uint64_t life,
                Send send,
                std::function<TimePoint()> confirmedAt,
                ReportHandler onReport,
                HolderHandler onHolder);
    ~SharedRates() override;
    SharedRates(const SharedRates &) = delete;
    SharedRates &operator=(const SharedRates &) = delete;

    /// Sets the limits by their names. Lower ones hold at once. Not called from callbacks of `acquire`.
    void setTerms(const std::map<std::string, RateTerms> &terms);

    /// Sets the instances that send requests to servers, and those that may be the holder, the preferred one first.
    void setInstances(const std::vector<InstanceId> &senders, std::vector<InstanceId> holders);

    /// Answers another instance.
    RateReply onAsk(const RateAsk &ask);

    RateRequestId acquire(const std::string &name, const RateTerms &terms, std::int64_t priority, Duration maxWait, Callback done) override;
    void cancel(RateRequestId id) override;
    void giveBack(const std::string &name, const RateDecision &admission) override;

    const RateCounters &counters() const
    {
        return counters_;
    }

    /// Returns the number of limits.
    std::size_t limits() const
    {
        return limits_.size();
    }

    /// Returns the part of all rates that this instance holds for others and itself.
    double pooled();

    /// Returns the tokens that this instance has given out as the holder.
    std::uint64_t granted() const
    {
        return ownHolder_.granted();
    }

private:
    struct Stock
    {
        std::uint32_t tokens = 0;
        TimePoint until{};
    };

    /// A holder that did not answer.
    struct Avoidance
    {
        TimePoint until{};
        Duration span{0};
    };

    struct Waiting
    {
        RateRequestId id = 0;
        std::int64_t priority = 0;
        TimePoint until{};
        Callback done;
    };

    struct Limit
    {
        RateTerms terms;
        RateSavings savings;
        std::deque<Stock> stocks;
        /// Tokens of the own part, and the one that may be kept.
        double own = 0;
        /// When the first token to keep comes by itself; what an earlier life kept lies in another window then.
        std::optional<TimePoint> keptFrom;
        /// The value of `earned_` up to which `own` is counted.
        double counted = 0;
        /// Requests a second, smoothed, as of `demandAt`.
        double demand = 0;
        TimePoint demandAt{};
        std::list<Waiting> waiting;
        /// Tokens that the holder has been asked for and has not answered.
        std::uint32_t incoming = 0;
        /// The holder had no token; it is not asked again for a request before this.
        TimePoint emptyUntil{};
        /// Up to when tokens are promised to refused requests.
        TimePoint promisedUntil{};
        RateReport report;
        TimePoint reportedAt{};
    };

    /// The clock, which also counts the time for which the machine was suspended.
    TimePoint now() const;
    /// Counts the own part up to now.
    void advance(TimePoint now);
    void settle(Limit &limit) const;
    void settleAll();
    /// Returns how many tokens the instance may keep, none or one.
    double keptTokens(const Limit &limit) const;
    bool isLent(TimePoint now) const;
    void applyTerms(const std::string &name, Limit &limit, const RateTerms &terms);

    static double demandOf(const Limit &limit, TimePoint now);
    static void countDemand(Limit &limit, TimePoint now);
    static std::uint32_t stockOf(Limit &limit, TimePoint now);
    /// Returns how many tokens the holder should give now.
    std::uint32_t wantedOf(Limit &limit, TimePoint now) const;
    std::vector<RateWant> wants(TimePoint now);

    std::optional<RateDecision> tryTake(Limit &limit, TimePoint now) const;
    RateDecision refuse(Limit &limit, TimePoint now);
    RateDecision admit(Limit &limit, const RateDecision &decision);
    void serveWaiting(Limit &limit, TimePoint now);
    void refuseWaiting(Limit &limit, TimePoint now);
    void refuseOne(Limit &limit, std::list<Waiting>::iterator waiting, TimePoint now);
    void endWaits();
    void scheduleEndOfWaits(TimePoint at);

    void onInterval();
    void scheduleInterval();
    void confirmPart(TimePoint now);
    void report(Limit &limit, TimePoint now);
    void chooseHolder(TimePoint now, const char *reason);
    /// Passes over a holder that does not answer, for longer each time.
    void avoid(const InstanceId &holder, TimePoint now);
    /// Asks the holder soon, together with what else comes until then.
    void askSoon();
    /// Tells the holder what is wanted, and lends it the own part. Does nothing if there is nothing to tell.
    void ask(TimePoint now);
    void askSelf(std::vector<RateWant> wanted, TimePoint now);
    void send(const RateAsk &ask, TimePoint now);
    /// Takes the own part back from an earlier holder.
    void takeBack(TimePoint now);
    /// Notes that the own part is lent for the loan's term from now on.
    void markLent(const InstanceId &to, TimePoint now);
    void markTakenBack(TimePoint now);
    void onReply(const InstanceId &from, const RateAsk &ask, TimePoint sentAt, const Result<RateReply> &reply);
    void onFailed(const InstanceId &from, const Failure &failure, TimePoint now);
    void takeGrants(const RateAsk &ask, const RateReply &reply, TimePoint sentAt, TimePoint now);

    Runtime &runtime_;
    const InstanceId self_;
    const RateAllowance allowance_;
    const Send send_;
    const std::function<TimePoint()> confirmedAt_;
    const ReportHandler onReport_;
    const HolderHandler onHolder_;
    RateHolder ownHolder_;
    RatePart ownPart_;
    std::map<std::string, Limit> limits_;
    /// Requests that waited at limits that are no more.
    std::list<Waiting> released_;
    std::vector<InstanceId> holders_;
    std::map<InstanceId, Avoidance> avoided_;
    InstanceId holder_;
    /// The last stamp of the holder.
    RateStamp stamp_;
    /// The part that the holder had last, and consecutive messages to it that failed.
    double pooled_ = 0;
    int failures_ = 0;
    /// To whom and until when the own part is lent; empty for loans of an earlier life of this instance.
    InstanceId lentTo_;
    TimePoint lentUntil_{};
    std::uint64_t loans_ = 0;
    double part_ = 0;
    TimePoint advancedTo_{};
    /// The seconds for which the whole rates would have been this instance's own.
    double earned_ = 0;
    TimePoint confirmationSeen_{};
    RateRequestId lastId_ = 0;
    std::size_t asksInFlight_ = 0;
    std::mt19937_64 random_;
    TimerId intervalTimer_ = 0;
    TimerId askTimer_ = 0;
    TimerId waitTimer_ = 0;
    TimePoint waitTimerAt_ = TimePoint::max();
    RateCounters counters_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Burdock
