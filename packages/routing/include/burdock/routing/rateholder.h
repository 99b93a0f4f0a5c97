#pragma once

#include <burdock/routing/rateallowance.h>
#include <burdock/values/names.h>

#include <map>
#include <string>
#include <vector>

namespace Burdock
{

/// A time on the clock of one life of a holder; meaningful to that life only.
struct RateStamp
{
    /// Identifies the life of the holder; zero if there is no stamp.
    std::uint64_t life = 0;
    /// Microseconds on the holder's clock.
    std::int64_t time = 0;

    auto fields() const
    {
        return std::tie(life, time);
    }
};

/// How many tokens of a limit an instance would like to have.
struct RateWant
{
    std::string name;
    std::uint32_t tokens = 0;

    auto fields() const
    {
        return std::tie(name, tokens);
    }
};

/// What an instance tells the holder, and asks of it.
struct RateAsk
{
    InstanceId from;
    /// The last stamp of this holder that the instance has received.
    RateStamp stamp{};
    /// The part of all rates that the instance lends to the holder for `RateLoanTerm` from when it sent this; zero for none.
    double loan = 0;
    /// Whether the instance takes back what it lent before.
    bool takesBack = false;
    std::vector<RateWant> wants{};

    auto fields() const
    {
        return std::tie(from, stamp, loan, takesBack, wants);
    }
};

/// The holder's answer to one want.
struct RateGrant
{
    std::uint32_t tokens = 0;
    /// If fewer tokens were given than wanted: the time until all that instances want could be there.
    Duration wait{0};

    auto fields() const
    {
        return std::tie(tokens, wait);
    }
};

/// The holder's answer.
struct RateReply
{
    RateStamp stamp{};
    /// The part of all rates that the holder has in hand.
    double pooled = 0;
    /// One for each want, in the same order.
    std::vector<RateGrant> grants{};

    auto fields() const
    {
        return std::tie(stamp, pooled, grants);
    }
};

/// Gives out the parts of the rates that instances have lent to this one.
///
/// Load: many workspaces, each with most of its requests at one or two of a dozen instances. A holder gives out no more than was lent to it,
/// and each instance lends its part to one holder at a time, so that several holders together stay within the rates, whoever they think
/// is the holder.
///
/// A loan counts from the stamp that the instance returns, which is older than the instance's message. So it ends here before it ends there,
/// however long the message took. Times are those of the caller's clock, which also counts suspensions.
class RateHolder
{
public:
    RateHolder(std::uint64_t life, const RateAllowance &allowance);

    /// Sets the limits by their names. Lower ones hold at once.
    void setTerms(const std::map<std::string, RateTerms> &terms, TimePoint now);

    /// Sets the number of instances among which the rates are divided.
    void setSenders(std::size_t count, TimePoint now);

    RateReply onAsk(const RateAsk &ask, TimePoint now);

    /// Takes the part of this instance itself, until the loan's term from now on.
    void lend(const InstanceId &from, double part, TimePoint now);

    /// Ends a loan.
    void takeBack(const InstanceId &from, TimePoint now);

    /// Returns the part of all rates that the holder has in hand, at most 1.
    double pooled(TimePoint now);

    /// Returns the number of instances that have lent their parts.
    std::size_t lenders() const
    {
        return loans_.size();
    }

    /// Returns the tokens given out.
    std::uint64_t granted() const
    {
        return granted_;
    }

private:
    struct Loan
    {
        double part = 0;
        TimePoint until{};
    };

    /// Tokens that were wanted and not given.
    struct Unmet
    {
        double tokens = 0;
        TimePoint at{};
    };

    struct Bucket
    {
        RateTerms terms;
        double capacity = 1;
        double tokens = 0;
        /// The value of `earned_` up to which the tokens are counted.
        double counted = 0;
        std::map<InstanceId, Unmet> unmet;
    };

    void addLoan(const InstanceId &from, double part, TimePoint until, TimePoint now);
    RateGrant grant(Bucket &bucket, const InstanceId &to, std::uint32_t wanted, TimePoint now);
    /// Counts the loans up to `now` and ends those that are over.
    void advance(TimePoint now);
    void earnUntil(TimePoint time);
    double sumOfParts() const;
    void settle(Bucket &bucket) const;
    /// Drops what exceeds the part of the capacity that is in hand.
    void settleAll();

    const std::uint64_t life_;
    const RateAllowance allowance_;
    std::size_t senders_ = 1;
    std::map<InstanceId, Loan> loans_;
    /// When each loan was taken back; older messages renew it no more.
    std::map<InstanceId, TimePoint> takenBackAt_;
    std::map<std::string, Bucket> buckets_;
    TimePoint advancedTo_{};
    /// The seconds for which the whole rates were in hand.
    double earned_ = 0;
    std::uint64_t granted_ = 0;
};

} // namespace Burdock
