#pragma once

#include <burdock/routing/peerchoice.h>
#include <burdock/routing/requestrun.h>

namespace Burdock
{

/// Passes one request on to other instances, one after the other, until one of them serves it. The destructor cancels it.
///
/// Another peer is asked after one that could not help or was lost. What a peer that could help answers is final, also if that is a
/// refusal or a failure. A request that is not repeatable goes to another peer only if it certainly did not run; one that may have
/// run takes a repeat of each service from the budget.
class PassOnRun
{
public:
    using Done = std::function<void(ClientAnswer)>;

    /// `reason` says why the request is passed on, for the log.
    PassOnRun(RoutingContext &context, const RunTerms &terms, PassOnTerms passOn, std::string reason);
    ~PassOnRun();
    PassOnRun(const PassOnRun &) = delete;
    PassOnRun &operator=(const PassOnRun &) = delete;

    /// Asks the first peer; `done` is called once, possibly from within this call, unless the run is cancelled first.
    void start(Done done);

    void cancel();

    bool finished() const
    {
        return !done_;
    }

    /// The newest configuration of the peers that answered.
    std::int64_t newestConfig() const
    {
        return passOn_.configVersion;
    }

private:
    void askNext();
    void onReply(Result<PeerReply> reply);
    /// Whether another peer may be asked after one that may have sent the request to servers.
    bool mayAskAgain(std::uint32_t attemptsUsed);
    void note(std::string_view outcome, const std::string &detail);
    void finish(ClientAnswer answer);

    RoutingContext &context_;
    const RunTerms terms_;
    PassOnTerms passOn_;
    const std::string reason_;
    Done done_;
    PeerRequestId request_ = 0;
    Peer peer_;
    TimePoint sentAt_{};
    /// The attempts that the peer may use.
    std::uint32_t granted_ = 0;
    std::vector<InstanceId> tried_;
    /// Whether it is certain that no server ran the request for a peer.
    bool nothingRan_ = true;
    std::string lastReason_;
};

} // namespace Burdock
