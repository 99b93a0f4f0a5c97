#pragma once

#include <burdock/policy/claimowner.h>
#include <burdock/wire/peerlinks.h>

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace Burdock
{

/// Routes claim requests to the owners of their partitions, on this instance or on a peer, and serves the requests of peers.
class ClaimRouter final : public ClaimPort
{
public:
    /// Returns the owners of a partition in order of preference.
    using FindOwners = std::function<std::vector<InstanceId>(std::size_t partition)>;

    ClaimRouter(Runtime &runtime, PeerLinks &links, ClaimOwner &local, InstanceId self, FindOwners find);
    ~ClaimRouter() override;
    ClaimRouter(const ClaimRouter &) = delete;
    ClaimRouter &operator=(const ClaimRouter &) = delete;

    void requestClaim(const ClaimRequest &request, std::size_t attempt, Callback done) override;
    void record(const ClaimOutcome &outcome) override;

    /// Handlers of messages from peers.
    void onClaimRequest(const InstanceId &from, const ClaimRequest &request);
    void onClaimAnswer(const InstanceId &from, const ClaimAnswer &answer);
    void onClaimOutcome(const ClaimOutcome &outcome);

    /// Completes all requests to a peer whose link was lost with Unavailable, so that the caller can try the next owner.
    void onPeerLost(const InstanceId &peer);

    /// Returns the number of requests to peers that are not answered yet.
    std::size_t pending() const;

private:
    struct Pending
    {
        Callback done;
        TimerId timer = 0;
    };
    /// The owner and the nonce of the request. The nonce is drawn anew for each run, so that an answer to a request of an earlier
    /// incarnation of this instance is never matched to a request of this one.
    using PendingKey = std::pair<InstanceId, std::uint64_t>;

    void deferAnswer(Callback done, ClaimAnswer answer);
    void complete(const PendingKey &key, const ClaimAnswer &answer);

    Runtime &runtime_;
    PeerLinks &links_;
    ClaimOwner &local_;
    const InstanceId self_;
    FindOwners findOwners_;
    std::map<PendingKey, Pending> pending_;
    std::shared_ptr<bool> alive_;
};

} // namespace Burdock
