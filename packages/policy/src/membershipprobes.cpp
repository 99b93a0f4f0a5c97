#include <burdock/policy/membership.h>

#include <utility>

namespace Burdock
{

void Membership::beginPeriod()
{
    const TimePoint now = runtime_.now();
    const Duration delay = now - nextPeriod_;
    nextPeriod_ = now + settings_.period;
    periodTimer_ = runtime_.schedule(settings_.period, [this] { beginPeriod(); });
    staleMembers_.clear();
    answersThisPeriod_ = 0;
    if (delay > settings_.ackTimeout) {
        // The process was paused, so missing Acks say nothing about the other members.
        ++counters_.pauses;
        table_.extendSuspicions(delay);
        probe_.reset();
        sendPings();
    }
    concludeProbe();
    expireMembers();
    probeNext();
    probeSuspect();
    probeDead();
    notify();
}

void Membership::concludeProbe()
{
    const auto probe = std::exchange(probe_, std::nullopt);
    if (!probe || probe->acked) {
        return;
    }
    ++counters_.failedProbes;
    const MemberTable::Record *record = table_.find(probe->target);
    if (record == nullptr || record->member.state != MemberState::Alive) {
        return;
    }
    ++counters_.suspicions;
    applyUpdate({probe->target, record->member.incarnation, MemberState::Suspect, record->member.life, std::nullopt});
}

void Membership::expireMembers()
{
    for (const InstanceId &dead : table_.expire(runtime_.now())) {
        ++counters_.deaths;
        updates_.add(dead);
        pendingChange_ = true;
    }
    for (auto relay = relays_.begin(); relay != relays_.end();) {
        relay = relay->second.expires <= runtime_.now() ? relays_.erase(relay) : std::next(relay);
    }
}

void Membership::probeNext()
{
    const auto chosen = sample(1, [](const Member &member) { return member.state != MemberState::Dead; });
    if (chosen.empty()) {
        return;
    }
    probe_ = Probe{chosen.front(), ping(chosen.front()), false};
    if (ackTimer_ != 0) {
        runtime_.cancel(ackTimer_);
    }
    ackTimer_ = runtime_.schedule(settings_.ackTimeout, [this] { retryProbe(); });
}

void Membership::retryProbe()
{
    ackTimer_ = 0;
    if (!probe_ || probe_->acked) {
        return;
    }
    sendPing(probe_->target, probe_->number);
    sendPingRequests();
    // A retry is useless if it cannot be answered before the period ends.
    if (nextPeriod_ - runtime_.now() >= 2 * settings_.ackTimeout) {
        ackTimer_ = runtime_.schedule(settings_.ackTimeout, [this] { retryProbe(); });
    }
}

void Membership::probeSuspect()
{
    // A suspect must learn of the suspicion to refute it.
    for (const InstanceId &suspect : sample(1, [](const Member &member) { return member.state == MemberState::Suspect; })) {
        ping(suspect);
    }
}

void Membership::probeDead()
{
    if (runtime_.now() < nextDeadProbe_) {
        return;
    }
    nextDeadProbe_ = runtime_.now() + settings_.deadProbeInterval;
    for (const InstanceId &dead : sample(1, [](const Member &member) { return member.state == MemberState::Dead && member.listed; })) {
        ping(dead);
    }
}

void Membership::sendPingRequests()
{
    const InstanceId target = probe_->target;
    const auto canProbe = [&target](const Member &member) { return member.state == MemberState::Alive && member.instance.id != target; };
    for (const InstanceId &prober : sample(settings_.indirectProbers, canProbe)) {
        ProbeMessage request = compose(ProbeKind::PingRequest, probe_->number);
        request.target = target;
        ++counters_.pingRequestsSent;
        port_.send(table_.find(prober)->member.instance.peers, request);
    }
}

std::uint32_t Membership::ping(const InstanceId &target)
{
    sendPing(target, ++lastNumber_);
    return lastNumber_;
}

void Membership::sendPing(const InstanceId &target, std::uint32_t number)
{
    const MemberTable::Record *record = table_.find(target);
    if (record == nullptr) {
        return;
    }
    ProbeMessage message = compose(ProbeKind::Ping, number);
    addUpdates(message, target, settings_.datagramBytes);
    ++counters_.pingsSent;
    port_.send(record->member.instance.peers, message);
}

void Membership::answerPing(const Address &from, const ProbeMessage &message)
{
    if (!tryCountAnswer()) {
        return;
    }
    ProbeMessage ack = compose(ProbeKind::Ack, message.number);
    addUpdates(ack, message.from, settings_.datagramBytes);
    ++counters_.acksSent;
    port_.send(from, ack);
}

void Membership::relayPing(const Address &from, const ProbeMessage &message)
{
    const MemberTable::Record *target = table_.find(message.target);
    if (target == nullptr || !tryCountAnswer()) {
        return;
    }
    const std::uint32_t number = ++lastNumber_;
    relays_[number] = {from, message.number, message.target, runtime_.now() + 2 * settings_.period};
    ++counters_.pingsSent;
    port_.send(target->member.instance.peers, compose(ProbeKind::Ping, number));
}

void Membership::onAck(const ProbeMessage &message)
{
    const auto relay = relays_.find(message.number);
    if (relay != relays_.end() && relay->second.target == message.from) {
        ProbeMessage relayed = compose(ProbeKind::Ack, relay->second.number);
        relayed.target = message.from;
        if (const auto fact = updateOf(message.from)) {
            relayed.updates.push_back(*fact);
        }
        ++counters_.acksSent;
        port_.send(relay->second.requester, relayed);
        relays_.erase(relay);
        return;
    }
    const bool running = probe_ && probe_->number == message.number;
    if (running && (message.from == probe_->target || message.target == probe_->target)) {
        probe_->acked = true;
    } else {
        ++counters_.unmatchedAcks;
    }
}

bool Membership::tryCountAnswer()
{
    if (answersThisPeriod_ >= settings_.maxAnswersPerPeriod) {
        ++counters_.answersRefused;
        return false;
    }
    ++answersThisPeriod_;
    return true;
}

} // namespace Burdock
