#include <burdock/daemon/claimrouter.h>

#include <utility>

namespace Burdock
{

namespace
{

/// An owner that is silent for so long is given up; the entry has asked the next one long before.
constexpr Duration LongestSilence = std::chrono::seconds(10);

const ClaimAnswer NoOwner{0, Errc::Unavailable, false, {}};

} // namespace

ClaimRouter::ClaimRouter(Runtime &runtime, PeerLinks &links, ClaimOwner &local, InstanceId self, FindOwners find)
    : runtime_(runtime)
    , links_(links)
    , local_(local)
    , self_(std::move(self))
    , find_(std::move(find))
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

void ClaimRouter::answerLater(Callback done, ClaimAnswer answer)
{
    runtime_.schedule(Duration{0}, [done = std::move(done), answer = std::move(answer), alive = alive_] {
        if (*alive) {
            done(answer);
        }
    });
}

void ClaimRouter::requestClaim(const ClaimRequest &ask, std::size_t attempt, Callback done)
{
    const std::vector<InstanceId> owners = find_(claimPartitionOf(ask.command, ask.key));
    if (attempt >= owners.size()) {
        return answerLater(std::move(done), NoOwner);
    }
    const InstanceId &owner = owners[attempt];
    if (owner == self_) {
        return local_.requestClaim(ask, [this, done = std::move(done), alive = alive_](const ClaimAnswer &answer) {
            if (*alive) {
                answerLater(done, answer);
            }
        });
    }
    ClaimRequest numbered = ask;
    numbered.number = ask.nonce;
    if (!links_.send(owner, numbered)) {
        return answerLater(std::move(done), NoOwner);
    }
    const PendingKey key(owner, ask.nonce);
    runtime_.cancel(pending_[key].timer);
    pending_[key] = Pending{std::move(done), runtime_.schedule(LongestSilence, [this, key] { settle(key, NoOwner); })};
}

void ClaimRouter::settle(const PendingKey &key, const ClaimAnswer &answer)
{
    const auto node = pending_.extract(key);
    if (!node.empty()) {
        runtime_.cancel(node.mapped().timer);
        node.mapped().done(answer);
    }
}

void ClaimRouter::record(const ClaimOutcome &outcome)
{
    const std::vector<InstanceId> owners = find_(claimPartitionOf(outcome.command, outcome.key));
    if (owners.empty() || owners.front() == self_ || !links_.send(owners.front(), outcome)) {
        // Any instance may own any partition: correctness is the store's.
        local_.record(outcome);
    }
}

void ClaimRouter::askArrived(const InstanceId &from, const ClaimRequest &ask)
{
    local_.requestClaim(ask, [this, from, alive = alive_](const ClaimAnswer &answer) {
        if (*alive) {
            links_.send(from, answer);
        }
    });
}

void ClaimRouter::answerArrived(const InstanceId &from, const ClaimAnswer &answer)
{
    settle(PendingKey(from, answer.number), answer);
}

void ClaimRouter::outcomeArrived(const ClaimOutcome &outcome)
{
    local_.record(outcome);
}

void ClaimRouter::peerLost(const InstanceId &peer)
{
    std::vector<PendingKey> lost;
    for (const auto &pending : pending_) {
        if (pending.first.first == peer) {
            lost.push_back(pending.first);
        }
    }
    for (const PendingKey &key : lost) {
        settle(key, NoOwner);
    }
}

} // namespace Burdock
