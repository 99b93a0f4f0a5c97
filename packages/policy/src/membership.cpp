#include <burdock/policy/membership.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

bool isAlive(const Member &member)
{
    return member.state != MemberState::Dead;
}

bool sameLocation(const ListedInstance &known, const ListedInstance &other)
{
    return known.place == other.place && known.callers == other.callers && known.peers == other.peers;
}

} // namespace

Membership::Membership(
    Runtime &runtime, ProbePort &port, const ListedInstance &self, std::uint64_t incarnation, std::uint64_t seed, const MembershipSettings &settings)
    : runtime_(runtime)
    , port_(port)
    , settings_(settings)
    , random_(seed)
    , self_{self, std::min(incarnation, MaxIncarnation), MemberState::Alive, MemberLife::Starting, 0, false}
    , table_(settings, self.id)
    , lastNumber_(static_cast<std::uint32_t>(random_()))
    , started_(runtime.now())
    , nextPeriod_(started_ + settings.period * (random_() % 1000) / 1000)
    , nextDeadProbe_(started_)
{
    updates_.add(self.id);
    periodTimer_ = runtime_.schedule(nextPeriod_ - started_, [this] { beginPeriod(); });
}

Membership::~Membership()
{
    runtime_.cancel(periodTimer_);
    runtime_.cancel(ackTimer_);
}

void Membership::onInstanceList(const InstanceList &list)
{
    if (list.version <= listVersion_) {
        return;
    }
    const bool first = listVersion_ == 0;
    listVersion_ = list.version;
    const auto own = std::find_if(list.instances.begin(), list.instances.end(), [this](const auto &each) { return each.id == self_.instance.id; });
    self_.listed = own != list.instances.end();
    pendingChange_ = table_.applyList(list.instances) || pendingChange_;
    if (first) {
        sendPings();
    }
    notify();
}

void Membership::onDatagram(const Address &from, const ProbeMessage &message)
{
    ++counters_.received;
    if (message.from.empty() || message.from == self_.instance.id) {
        ++counters_.refusedUpdates;
        return;
    }
    staleMembers_.clear();
    for (const ProbeUpdate &update : message.updates) {
        applyUpdate(update);
    }
    applyHeader(message);
    switch (message.kind) {
    case ProbeKind::Ping:
        answerPing(from, message);
        break;
    case ProbeKind::PingRequest:
        relayPing(from, message);
        break;
    case ProbeKind::Ack:
        onAck(message);
        break;
    case ProbeKind::Notice:
        break;
    }
    if (std::exchange(pendingNotice_, false) && runtime_.now() >= nextNotice_) {
        nextNotice_ = runtime_.now() + settings_.noticeInterval;
        sendNotices();
    }
    notify();
}

void Membership::onChange(ChangeHandler handler)
{
    changed_ = std::move(handler);
}

void Membership::onHigherConfigVersion(VersionHandler handler)
{
    higherVersion_ = std::move(handler);
}

void Membership::setConfigVersion(std::uint64_t version)
{
    const bool higher = version > self_.configVersion;
    self_.configVersion = version;
    if (higher) {
        sendNotices();
    }
}

void Membership::setReady(bool ready)
{
    const MemberLife life = ready ? MemberLife::Ready : MemberLife::Starting;
    if (self_.life != MemberLife::Leaving && self_.life != life) {
        changeSelf(life, self_.incarnation + 1);
        sendNotices();
        notify();
    }
}

void Membership::leave()
{
    if (self_.life != MemberLife::Leaving) {
        changeSelf(MemberLife::Leaving, self_.incarnation + 1);
        sendNotices();
        notify();
    }
}

std::vector<ListedInstance> Membership::live() const
{
    std::vector<ListedInstance> all;
    for (const auto &[id, record] : table_.records()) {
        if (record.member.acceptsWork()) {
            all.push_back(record.member.instance);
        }
    }
    if (self_.acceptsWork()) {
        const auto before = [](const auto &a, const auto &b) { return a.id < b.id; };
        all.insert(std::lower_bound(all.begin(), all.end(), self_.instance, before), self_.instance);
    }
    return all;
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> all;
    for (const auto &[id, record] : table_.records()) {
        all.push_back(record.member);
    }
    return all;
}

const Member *Membership::member(const InstanceId &id) const
{
    const MemberTable::Record *record = table_.find(id);
    return record == nullptr ? nullptr : &record->member;
}

Member Membership::self() const
{
    return self_;
}

const MembershipCounters &Membership::counters() const
{
    return counters_;
}

void Membership::applyUpdate(const ProbeUpdate &update)
{
    if (update.member == self_.instance.id) {
        applySelfUpdate(update);
        return;
    }
    const MemberTable::Record *record = table_.find(update.member);
    const bool wasDead = record != nullptr && record->member.state == MemberState::Dead;
    const bool same = record != nullptr && record->member.state == update.state && record->member.life == update.life
        && (!update.details || sameLocation(record->member.instance, *update.details));
    const bool lifeChanged = record != nullptr && record->member.life != update.life;
    // The first update that a listed member is alive only adds its incarnation, so it is not passed on.
    const bool expected = same && record->member.incarnation == 0;
    switch (table_.apply(update, runtime_.now())) {
    case MemberTable::Outcome::Nothing:
        break;
    case MemberTable::Outcome::Stale:
        ++counters_.staleUpdates;
        staleMembers_.push_back(update.member);
        break;
    case MemberTable::Outcome::Refused:
        ++counters_.refusedUpdates;
        break;
    case MemberTable::Outcome::Changed:
        counters_.returns += wasDead && update.state != MemberState::Dead ? 1 : 0;
        pendingChange_ = pendingChange_ || !same;
        pendingNotice_ = pendingNotice_ || lifeChanged;
        if (!expected) {
            updates_.add(update.member);
        }
        break;
    }
}

void Membership::applySelfUpdate(const ProbeUpdate &update)
{
    const bool suspected = update.state != MemberState::Alive && update.incarnation >= self_.incarnation;
    const bool superseded = update.state == MemberState::Alive && update.incarnation > self_.incarnation;
    if (update.incarnation >= MaxIncarnation) {
        ++counters_.refusedUpdates;
    } else if (suspected || superseded) {
        ++counters_.refutations;
        changeSelf(self_.life, update.incarnation + 1);
    }
}

void Membership::applyHeader(const ProbeMessage &message)
{
    applyUpdate({message.from, message.incarnation, MemberState::Alive, message.life, std::nullopt});
    MemberTable::Record *record = table_.find(message.from);
    if (record == nullptr) {
        return;
    }
    record->member.configVersion = message.configVersion;
    if (message.configVersion > self_.configVersion && higherVersion_) {
        higherVersion_(message.from, message.configVersion);
    }
}

void Membership::changeSelf(MemberLife life, std::uint64_t incarnation)
{
    self_.life = life;
    self_.incarnation = incarnation;
    updates_.add(self_.instance.id);
    pendingChange_ = true;
}

void Membership::notify()
{
    if (std::exchange(pendingChange_, false) && changed_) {
        changed_();
    }
}

ProbeMessage Membership::compose(ProbeKind kind, std::uint32_t number) const
{
    return {kind, number, self_.instance.id, self_.incarnation, self_.life, self_.configVersion, {}, {}};
}

void Membership::addUpdates(ProbeMessage &message, const InstanceId &addressee, std::size_t maxBytes)
{
    const MemberTable::Record *record = table_.find(addressee);
    if (record == nullptr) {
        return;
    }
    std::size_t freeBytes = maxBytes - std::min(maxBytes, probeHeaderBytes(message));
    const auto append = [&](const ProbeUpdate &fact) {
        const std::size_t bytes = probeUpdateBytes(fact);
        if (bytes > freeBytes) {
            return false;
        }
        freeBytes -= bytes;
        message.updates.push_back(fact);
        return true;
    };
    if (record->member.state != MemberState::Alive) {
        append(MemberTable::updateOf(record->member));
    }
    if (!self_.listed || runtime_.now() - started_ < settings_.introductionTime) {
        append(selfIntroduction());
    }
    for (const InstanceId &id : staleMembers_) {
        const auto fact = updateOf(id);
        if (fact && !append(*fact)) {
            break;
        }
    }
    std::uint32_t doublings = 1;
    while ((std::size_t{1} << doublings) < table_.records().size() + 2) {
        ++doublings;
    }
    updates_.transmit(settings_.transmitFactor * doublings, [&](const InstanceId &id) {
        const auto fact = updateOf(id);
        return !fact || append(*fact);
    });
}

std::optional<ProbeUpdate> Membership::updateOf(const InstanceId &id) const
{
    if (id == self_.instance.id) {
        return ProbeUpdate{id, self_.incarnation, MemberState::Alive, self_.life, std::nullopt};
    }
    const MemberTable::Record *record = table_.find(id);
    return record == nullptr ? std::nullopt : std::optional(MemberTable::updateOf(record->member));
}

ProbeUpdate Membership::selfIntroduction() const
{
    return {self_.instance.id, self_.incarnation, MemberState::Alive, self_.life, self_.instance};
}

std::vector<InstanceId> Membership::sample(std::size_t count, const Predicate &eligible)
{
    std::vector<const InstanceId *> all;
    for (const auto &[id, record] : table_.records()) {
        if (eligible(record.member)) {
            all.push_back(&id);
        }
    }
    std::vector<InstanceId> sampled;
    while (sampled.size() < count && !all.empty()) {
        std::swap(all[random_() % all.size()], all.back());
        sampled.push_back(*all.back());
        all.pop_back();
    }
    return sampled;
}

void Membership::sendPings()
{
    staleMembers_.clear();
    for (const InstanceId &id : sample(settings_.fanout, isAlive)) {
        ping(id);
    }
}

void Membership::sendNotices()
{
    staleMembers_.clear();
    for (const InstanceId &id : sample(settings_.fanout, isAlive)) {
        ProbeMessage notice = compose(ProbeKind::Notice, 0);
        addUpdates(notice, id, settings_.noticeBytes);
        ++counters_.noticesSent;
        port_.send(table_.find(id)->member.instance.peers, notice);
    }
}

} // namespace Burdock
