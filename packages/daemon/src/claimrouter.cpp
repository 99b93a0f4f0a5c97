#include <burdock/daemon/claimrouter.h>

#include <utility>

namespace Burdock
{

namespace
{

/// After this time without an answer a request to an owner is dropped. The entry has tried the next owner long before.
constexpr Duration PeerAnswerTimeout = std::chrono::seconds(10);

const ClaimAnswer OwnerUnavailable{0, Errc::Unavailable, false, {}};

} // namespace

ClaimRouter::ClaimRouter(Runtime &runtime, PeerLinks &links, ClaimOwner &local, InstanceId self, FindOwners find)
    : runtime_(runtime)
    , links_(links)
    , local_(local)
    , self_(std::move(self))
    , findOwners_(std::move(find))
    , alive_(std::make_shared<bool>(true))
{
}

ClaimRouter::~ClaimRouter()
{
    *alive_ = false;
    for (const auto &pending : pending_) {
        runtime_.cancel(pending.second.timer);
    }
}

std::size_t ClaimRouter::pending() const
{
    return pending_.size();
}

void ClaimRouter::deferAnswer(Callback done, ClaimAnswer answer)
{
    runtime_.schedule(Duration{0}, [done = std::move(done), answer = std::move(answer), alive = alive_] {
        if (*alive) {
            done(answer);
        }
    });
}

void ClaimRouter::requestClaim(const ClaimRequest &request, std::size_t attempt, Callback done)
{
    const std::vector<InstanceId> owners = findOwners_(claimPartitionOf(request.command, request.key));
    if (attempt >= owners.size()) {
        return deferAnswer(std::move(done), OwnerUnavailable);
    }
    const InstanceId &owner = owners[attempt];
    if (owner == self_) {
        return local_.requestClaim(request, [this, done = std::move(done), alive = alive_](const ClaimAnswer &answer) {
            if (*alive) {
                deferAnswer(done, answer);
            }
        });
    }
    ClaimRequest numbered = request;
    numbered.number = request.nonce;
    if (!links_.send(owner, numbered)) {
        return deferAnswer(std::move(done), OwnerUnavailable);
    }
    const PendingKey key(owner, request.nonce);
    runtime_.cancel(pending_[key].timer);
    pending_[key] = Pending{std::move(done), runtime_.schedule(PeerAnswerTimeout, [this, key] { complete(key, OwnerUnavailable); })};
}

void ClaimRouter::complete(const PendingKey &key, const ClaimAnswer &answer)
{
    const auto node = pending_.extract(key);
    if (!node.empty()) {
        runtime_.cancel(node.mapped().timer);
        node.mapped().done(answer);
    }
}

void ClaimRouter::record(const ClaimOutcome &outcome)
{
    const std::vector<InstanceId> owners = findOwners_(claimPartitionOf(outcome.command, outcome.key));
    if (owners.empty() || owners.front() == self_ || !links_.send(owners.front(), outcome)) {
        // Any instance may act as the owner of any partition, because the store ensures correctness.
        local_.record(outcome);
    }
}

void ClaimRouter::onClaimRequest(const InstanceId &from, const ClaimRequest &request)
{
    local_.requestClaim(request, [this, from, alive = alive_](const ClaimAnswer &answer) {
        if (*alive) {
            links_.send(from, answer);
        }
    });
}

void ClaimRouter::onClaimAnswer(const InstanceId &from, const ClaimAnswer &answer)
{
    complete(PendingKey(from, answer.number), answer);
}

void ClaimRouter::onClaimOutcome(const ClaimOutcome &outcome)
{
    local_.record(outcome);
}

void ClaimRouter::onPeerLost(const InstanceId &peer)
{
    std::vector<PendingKey> lost;
    for (const auto &pending : pending_) {
        if (pending.first.first == peer) {
            lost.push_back(pending.first);
        }
    }
    for (const PendingKey &key : lost) {
        complete(key, OwnerUnavailable);
    }
}

} // namespace Burdock
