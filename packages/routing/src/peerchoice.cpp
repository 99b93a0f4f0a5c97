#include <burdock/routing/peerchoice.h>

#include <burdock/routing/instancerole.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// The number of peers of one region that an instance uses at the same time.
constexpr std::size_t MaxPeers = 8;
/// How long a peer that could not help is left out, and how long one that had no room is used only if there is no other.
constexpr Duration LeftOutTime = std::chrono::seconds(2);
constexpr Duration NoRoomTime = std::chrono::milliseconds(500);
/// A peer at which requests wait is silent if it has not answered any for this time.
constexpr Duration SilenceTime = std::chrono::milliseconds(300);

/// Whether requests of the route may be passed on to the instance.
bool mayServe(const InstanceRecord &record, const Route &route)
{
    return route.regions.empty() || (record.keepsRegions && route.isServedIn(record.region));
}

} // namespace

PeerChoice::PeerChoice(Helpers helpers, HasOthers hasOthers, HasRecord hasRecord, InstanceId self, std::uint64_t seed)
    : helpers_(std::move(helpers))
    , hasOthers_(std::move(hasOthers))
    , hasRecord_(std::move(hasRecord))
    , self_(std::move(self))
    , random_(seed)
{
}

std::uint32_t PeerChoice::inFlight(const InstanceId &peer) const
{
    const auto state = states_.find(peer);
    return state == states_.end() ? 0 : state->second.inFlight;
}

bool PeerChoice::isSilent(const InstanceId &peer, TimePoint now) const
{
    const auto state = states_.find(peer);
    return state != states_.end() && state->second.inFlight > 0 && now - state->second.heardAt > SilenceTime;
}

bool PeerChoice::isLeftOut(const InstanceId &peer, TimePoint now) const
{
    const auto state = states_.find(peer);
    return state != states_.end() && state->second.leftOutUntil > now;
}

std::size_t PeerChoice::rank(const InstanceId &peer) const
{
    return std::hash<std::string>()(self_.text() + '/' + peer.text());
}

void PeerChoice::onHelpersChanged(TimePoint now)
{
    std::map<InstanceId, ListedPeer> next;
    for (const InstanceTable::Records &helpers : helpers_()) {
        for (const InstanceRecord *record : helpers) {
            next[record->id] = {*record, std::nullopt};
        }
    }
    for (auto &[id, listed] : listed_) {
        const TimePoint goneSince = listed.goneSince.value_or(now);
        if (!hasRecord_(id) && now - goneSince <= StoppingTime) {
            next.try_emplace(id, ListedPeer{std::move(listed.record), goneSince});
        }
    }
    listed_ = std::move(next);
}

std::optional<Peer> PeerChoice::choose(const Route &route, const std::vector<InstanceId> &tried, TimePoint now)
{
    forgetUnused(now);
    // Silent peers are the last resort: they may be suspended, or just work on long requests.
    InstanceTable::Records full;
    InstanceTable::Records silent;
    InstanceTable::Records leftOut;
    for (const InstanceTable::Records &helpers : helpers_()) {
        InstanceTable::Records candidates;
        for (const InstanceRecord *record : helpers) {
            const bool wasTried = std::find(tried.begin(), tried.end(), record->id) != tried.end();
            if (wasTried || !mayServe(*record, route) || inFlight(record->id) >= MaxInFlight) {
                continue;
            }
            auto &group = isLeftOut(record->id, now) ? leftOut : isSilent(record->id, now) ? silent : hasNoRoom(record->id, now) ? full : candidates;
            group.push_back(record);
        }
        if (!candidates.empty()) {
            return chooseFrom(std::move(candidates));
        }
    }
    if (full.empty() && silent.empty()) {
        return lastResort(route, leftOut, tried, now);
    }
    return chooseFrom(std::move(full.empty() ? silent : full));
}

std::optional<Peer> PeerChoice::lastResort(const Route &route, const InstanceTable::Records &leftOut, const std::vector<InstanceId> &tried, TimePoint now)
{
    if (!leftOut.empty()) {
        return chooseFrom(leftOut);
    }
    const ListedPeer *best = nullptr;
    const auto cost = [this, now](const InstanceId &id) { return std::make_pair(isLeftOut(id, now), inFlight(id)); };
    for (const auto &[id, listed] : listed_) {
        const bool wasTried = std::find(tried.begin(), tried.end(), id) != tried.end();
        // That the record is gone may not have been noted yet.
        const bool isStopping = !hasRecord_(id) && now - listed.goneSince.value_or(now) <= StoppingTime;
        if (!wasTried && isStopping && mayServe(listed.record, route) && inFlight(id) < MaxInFlight && (best == nullptr || cost(id) < cost(best->record.id))) {
            best = &listed;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(Peer{best->record.id, best->record.peers});
}

bool PeerChoice::hasNoRoom(const InstanceId &peer, TimePoint now) const
{
    const auto state = states_.find(peer);
    return state != states_.end() && state->second.noRoomUntil > now;
}

Peer PeerChoice::chooseFrom(InstanceTable::Records candidates)
{
    const std::size_t used = std::min(candidates.size(), MaxPeers);
    std::partial_sort(candidates.begin(),
                      candidates.begin() + static_cast<std::ptrdiff_t>(used),
                      candidates.end(),
                      [this](const InstanceRecord *left, const InstanceRecord *right) { return rank(left->id) < rank(right->id); });
    std::uniform_int_distribution<std::size_t> place(0, used - 1);
    const InstanceRecord *first = candidates[place(random_)];
    const InstanceRecord *second = candidates[place(random_)];
    const InstanceRecord *chosen = inFlight(second->id) < inFlight(first->id) ? second : first;
    return {chosen->id, chosen->peers};
}

bool PeerChoice::isNoOneConnected() const
{
    return hasOthers_() && helpers_().empty();
}

void PeerChoice::onSent(const InstanceId &peer, TimePoint now)
{
    PeerState &state = states_[peer];
    if (state.inFlight++ == 0) {
        state.heardAt = now;
    }
}

void PeerChoice::onEnded(const InstanceId &peer, Ending ending, TimePoint now)
{
    PeerState &state = states_[peer];
    state.inFlight -= std::min(state.inFlight, 1U);
    if (ending != Ending::Lost && ending != Ending::Cancelled) {
        state.heardAt = now;
    }
    if (ending == Ending::NoRoom) {
        state.noRoomUntil = now + NoRoomTime;
    }
    if (ending == Ending::Unable || ending == Ending::Lost) {
        state.leftOutUntil = now + LeftOutTime;
    }
}

void PeerChoice::forgetUnused(TimePoint now)
{
    for (auto state = states_.begin(); state != states_.end();) {
        const bool unused = state->second.inFlight == 0 && std::max(state->second.leftOutUntil, state->second.noRoomUntil) <= now;
        state = unused ? states_.erase(state) : std::next(state);
    }
}

} // namespace Burdock
