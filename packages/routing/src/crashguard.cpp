#include <burdock/routing/crashguard.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// The servers that a request must have crashed as the only suspect. Another instance's suspect may have been in progress at one of
/// them by chance, but hardly at both.
constexpr std::uint32_t CrashesOfGuilty = 2;
constexpr Duration SuspectTime = std::chrono::seconds(30);
constexpr std::size_t MaxCases = 2048;
/// A server that crashed does not answer again so soon.
constexpr Duration DoubtTime = std::chrono::seconds(1);
constexpr std::size_t MaxLosses = 4096;
constexpr std::size_t MaxRequestsPerLoss = 32;
/// How many servers one request must have crashed for an alarm, and how long the alarm lasts: until all instances have the reports,
/// and the clients' next attempts have come.
constexpr std::uint32_t CrashesForAlarm = 3;
constexpr Duration AlarmTime = std::chrono::milliseconds(1500);

/// The time that a suspect of two crashes is given to be cleared: either server may only have lost a connection, and soon shows so.
constexpr Duration ShortClearingTime = std::chrono::milliseconds(300);

/// With so many servers that break off before any other answers, this instance may have lost its connections.
constexpr std::size_t ServersForDoubt = 5;

} // namespace

/// Returns the time after the last evidence at which the others should hear of it. With more crashes each could lose further servers
/// at once.
Duration CrashGuard::Case::clearingTime() const
{
    if (own.crashes >= CrashesForAlarm || own.alone >= CrashesOfGuilty) {
        return doubtful ? ShortClearingTime : Duration{0};
    }
    return own.crashes > 1 || own.alone > 0 ? ShortClearingTime : ClearingTime;
}

std::uint32_t CrashGuard::Case::alone() const
{
    std::uint32_t sum = own.alone;
    for (const auto &[from, report] : others) {
        sum += report.alone;
    }
    return sum;
}

CrashGuard::CrashGuard(ChangeHandler onChanged)
    : onChanged_(std::move(onChanged))
{
}

bool CrashGuard::isExpired(const Case &suspect, TimePoint now) const
{
    return now - suspect.evidenceAt >= (suspect.alone() >= CrashesOfGuilty ? CrashGuard::GuiltyTime : SuspectTime);
}

CrashGuard::Verdict CrashGuard::judge(const RequestFingerprint &request, TimePoint now) const
{
    const auto found = cases_.find(request);
    if (found == cases_.end()) {
        return Verdict::Clear;
    }
    const bool doubtful = found->second.doubtful && now - found->second.evidenceAt < ShortClearingTime;
    const bool guilty = found->second.alone() >= CrashesOfGuilty && !doubtful;
    if (isExpired(found->second, now)) {
        return guilty ? Verdict::Suspect : Verdict::Clear;
    }
    return guilty ? Verdict::Guilty : Verdict::Suspect;
}

bool CrashGuard::onSuspectSent(const ServerId &server)
{
    return ++suspectsAt_[server] == 1;
}

void CrashGuard::onSuspectEnded(const ServerId &server)
{
    const auto found = suspectsAt_.find(server);
    if (found != suspectsAt_.end() && --found->second == 0) {
        suspectsAt_.erase(found);
    }
}

bool CrashGuard::hasSuspect(const ServerId &server) const
{
    return suspectsAt_.count(server) > 0;
}

CrashGuard::Case &CrashGuard::caseOf(const RequestFingerprint &request, TimePoint now)
{
    if (cases_.count(request) == 0 && cases_.size() >= MaxCases) {
        dropOldest(now);
    }
    Case &suspect = cases_[request];
    suspect.own.request = request;
    suspect.evidenceAt = now;
    return suspect;
}

void CrashGuard::dropOldest(TimePoint now)
{
    const auto rank = [this, now](const auto &entry) {
        const bool kept = entry.second.alone() >= CrashesOfGuilty && !isExpired(entry.second, now);
        return std::make_pair(kept, entry.second.evidenceAt);
    };
    cases_.erase(std::min_element(cases_.begin(), cases_.end(), [&rank](const auto &left, const auto &right) { return rank(left) < rank(right); }));
}

void CrashGuard::onCrash(const RequestFingerprint &request, const std::vector<CrashedAttempt> &attempts, TimePoint now)
{
    Case &suspect = caseOf(request, now);
    for (const CrashedAttempt &attempt : attempts) {
        ++suspect.own.crashes;
        suspect.own.alone += attempt.alone ? 1 : 0;
        noteLoss(attempt, request, now);
    }
    suspect.doubtful = lostTogether_.size() >= ServersForDoubt;
    alarm(ownAlarmUntil_, suspect.own, now);
    onChanged_(suspect.clearingTime());
}

void CrashGuard::noteLoss(const CrashedAttempt &attempt, const RequestFingerprint &request, TimePoint now)
{
    if (losses_.size() >= MaxLosses) {
        losses_.clear();
    }
    lostTogether_.insert(attempt.server);
    Loss &loss = losses_[attempt.server];
    if (now - loss.at > DoubtTime) {
        loss.requests.clear();
    }
    loss.at = now;
    if (loss.requests.size() < MaxRequestsPerLoss) {
        loss.requests.emplace_back(request, attempt.alone);
    }
}

void CrashGuard::onServerAnswered(const ServerId &server, TimePoint sentAt)
{
    lostTogether_.clear();
    const auto found = losses_.find(server);
    if (found == losses_.end() || sentAt <= found->second.at) {
        return;
    }
    const Loss loss = std::move(found->second);
    losses_.erase(found);
    if (sentAt - loss.at > DoubtTime) {
        // It may have started anew.
        return;
    }
    for (const auto &[request, alone] : loss.requests) {
        withdraw(request, alone);
    }
}

void CrashGuard::withdraw(const RequestFingerprint &request, bool alone)
{
    const auto found = cases_.find(request);
    if (found == cases_.end() || found->second.own.crashes == 0) {
        return;
    }
    CrashReport &own = found->second.own;
    --own.crashes;
    own.alone -= alone && own.alone > 0 ? 1 : 0;
    if (own.crashes == 0 && found->second.others.empty()) {
        cases_.erase(found);
    }
}

void CrashGuard::withdrawSince(TimePoint since, TimePoint now)
{
    withdrawnAt_ = now;
    ownAlarmUntil_ = {};
    lostTogether_.clear();
    bool changed = false;
    for (auto each = losses_.begin(); each != losses_.end();) {
        if (each->second.at < since) {
            ++each;
            continue;
        }
        for (const auto &[request, alone] : each->second.requests) {
            withdraw(request, alone);
        }
        changed = true;
        each = losses_.erase(each);
    }
    if (changed) {
        onChanged_(Duration{0});
    }
}

void CrashGuard::alarm(TimePoint &until, const CrashReport &report, TimePoint now)
{
    if (report.crashes >= CrashesForAlarm) {
        until = now + AlarmTime;
    }
}

void CrashGuard::onAnswered(const RequestFingerprint &request)
{
    cases_.erase(request);
}

std::vector<CrashReport> CrashGuard::reports(TimePoint now, bool withUncertain) const
{
    std::vector<std::pair<std::pair<bool, TimePoint>, const Case *>> known;
    for (const auto &[request, suspect] : cases_) {
        const bool isUncertain = now - suspect.evidenceAt < suspect.clearingTime();
        if (suspect.own.crashes > 0 && !isExpired(suspect, now) && (withUncertain || !isUncertain)) {
            known.push_back({{suspect.alone() >= CrashesOfGuilty, suspect.evidenceAt}, &suspect});
        }
    }
    std::sort(known.begin(), known.end(), [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<CrashReport> shared;
    for (std::size_t index = 0; index < std::min(known.size(), MaxShared); ++index) {
        shared.push_back(known[index].second->own);
    }
    return shared;
}

void CrashGuard::addReports(const InstanceId &from, const std::vector<CrashReport> &reports, TimePoint now)
{
    for (const CrashReport &report : reports) {
        const auto found = cases_.find(report.request);
        const auto known = found == cases_.end() ? std::map<InstanceId, CrashReport>::const_iterator{} : found->second.others.find(from);
        const bool isNew = found == cases_.end() || known == found->second.others.end() || known->second != report;
        if (isNew && report.crashes > 0) {
            caseOf(report.request, now).others[from] = report;
            alarm(othersAlarmUntil_, report, now);
        }
    }
}

void CrashGuard::adoptReports(const std::vector<CrashReport> &reports, TimePoint now)
{
    for (const CrashReport &report : reports) {
        CrashReport &own = caseOf(report.request, now).own;
        own.crashes = std::max(own.crashes, report.crashes);
        own.alone = std::max(own.alone, report.alone);
    }
}

} // namespace Burdock
