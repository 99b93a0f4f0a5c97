#include <burdock/wire/memorybudget.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Burdock
{

namespace
{

/// The shares of the limit, in percent, at which the levels begin.
constexpr std::size_t PausingPercent = 50;
constexpr std::size_t RefusingPercent = 75;
constexpr std::size_t ExhaustedPercent = 90;
constexpr std::size_t Hundred = 100;
/// A body of up to this share of the limit is admitted while nothing else is held.
constexpr std::size_t AloneDivisor = 8;
/// What is not longer may arrive also if there is no room, as long as no more than the part below of the limit is held beyond it.
constexpr std::size_t LongArrivalBytes = 65536;
constexpr std::size_t OverdrawnDivisor = 8;
/// What is not longer may arrive in any case.
constexpr std::size_t ShortArrivalBytes = 4096;
/// The share of a machine's memory for what is held for others.
constexpr std::size_t HeldDivisor = 2;
/// The interval of the relief above the calm level.
constexpr Duration ReliefInterval = std::chrono::milliseconds(250);
/// Connections that hold less are not paused by the plan.
constexpr std::size_t MinPausedBytes = 16384;

std::size_t percentOf(std::size_t limit, std::size_t percent)
{
    return limit / Hundred * percent;
}

/// Adds the connections without progress to those to be closed, the longest first, until the budget is calm. Returns what is held then.
std::size_t closeStalled(const std::vector<MemoryUse> &uses, std::size_t held, const MemoryTerms &terms, TimePoint now, MemoryRelief &relief)
{
    const MemoryLevel level = memoryLevel(held, terms);
    if (level < MemoryLevel::Refusing) {
        return held;
    }
    // A paused client that has sent more is not to blame for its pause, and is closed only if nothing else helps.
    const auto isBlameless = [&uses](std::size_t index) { return uses[index].isPaused && uses[index].hasUnread; };
    std::vector<std::size_t> stalled;
    for (std::size_t index = 0; index < uses.size(); ++index) {
        const MemoryUse &use = uses[index];
        const bool mayClose = !isBlameless(index) || level == MemoryLevel::Exhausted;
        if (use.awaitsClient && use.bytes > 0 && now - use.progressAt >= terms.span && mayClose) {
            stalled.push_back(index);
        }
    }
    std::sort(stalled.begin(), stalled.end(), [&](std::size_t left, std::size_t right) {
        return std::make_pair(isBlameless(left), uses[left].progressAt) < std::make_pair(isBlameless(right), uses[right].progressAt);
    });
    for (const std::size_t index : stalled) {
        if (held < percentOf(terms.limit, PausingPercent)) {
            break;
        }
        held -= std::min(held, uses[index].bytes);
        relief.closed.push_back(index);
    }
    return held;
}

/// What remains of the uses once those to be closed are gone: each use that is not closed, by its index.
std::vector<std::size_t> openOf(const std::vector<MemoryUse> &uses, const MemoryRelief &relief)
{
    std::vector<bool> isClosed(uses.size());
    for (const std::size_t index : relief.closed) {
        isClosed[index] = true;
    }
    std::vector<std::size_t> open;
    for (std::size_t index = 0; index < uses.size(); ++index) {
        if (!isClosed[index]) {
            open.push_back(index);
        }
    }
    return open;
}

/// Pauses those that hold most for longest, until what the others may still send has room.
void pauseLargest(const std::vector<MemoryUse> &uses, std::size_t room, TimePoint now, MemoryRelief &relief)
{
    std::vector<std::size_t> read;
    std::size_t coming = 0;
    for (const std::size_t index : openOf(uses, relief)) {
        if (uses[index].isReceiving && !uses[index].isPaused) {
            coming += uses[index].remaining;
            read.push_back(index);
        }
    }
    const auto weight = [&](std::size_t index) { return static_cast<double>(uses[index].bytes) * static_cast<double>((now - uses[index].since).count() + 1); };
    std::sort(read.begin(), read.end(), [&](std::size_t left, std::size_t right) { return weight(left) > weight(right); });
    for (const std::size_t index : read) {
        if (coming <= room) {
            break;
        }
        if (uses[index].bytes >= MinPausedBytes) {
            coming -= uses[index].remaining;
            relief.paused.push_back(index);
        }
    }
}

/// Resumes those paused longest, as far as what they may still send has room.
void resumeLongestPaused(const std::vector<MemoryUse> &uses, std::size_t room, MemoryRelief &relief)
{
    std::vector<std::size_t> paused;
    std::size_t coming = 0;
    bool isAnyRead = false;
    for (const std::size_t index : openOf(uses, relief)) {
        if (uses[index].isPaused) {
            paused.push_back(index);
        } else if (uses[index].isReceiving) {
            isAnyRead = true;
            coming += uses[index].remaining;
        }
    }
    std::sort(paused.begin(), paused.end(), [&](std::size_t left, std::size_t right) { return uses[left].pausedAt < uses[right].pausedAt; });
    for (const std::size_t index : paused) {
        coming += uses[index].remaining;
        if (isAnyRead && coming > room) {
            break;
        }
        isAnyRead = true;
        relief.resumed.push_back(index);
    }
}

} // namespace

MemoryTerms MemoryTerms::ofMachine(std::size_t megabytes)
{
    constexpr std::size_t BytesPerMegabyte = std::size_t{1} << 20;
    MemoryTerms terms;
    terms.limit = megabytes * BytesPerMegabyte / HeldDivisor;
    return terms;
}

std::string_view nameOf(MemoryLevel level)
{
    constexpr std::array<std::string_view, 4> Names{"calm", "pausing", "refusing", "exhausted"};
    return Names.at(static_cast<std::size_t>(level));
}

MemoryLevel memoryLevel(std::size_t held, const MemoryTerms &terms)
{
    if (held < percentOf(terms.limit, PausingPercent)) {
        return MemoryLevel::Calm;
    }
    if (held < percentOf(terms.limit, RefusingPercent)) {
        return MemoryLevel::Pausing;
    }
    return held < percentOf(terms.limit, ExhaustedPercent) ? MemoryLevel::Refusing : MemoryLevel::Exhausted;
}

MemoryRelief planRelief(const std::vector<MemoryUse> &uses, std::size_t held, const MemoryTerms &terms, TimePoint now)
{
    MemoryRelief relief;
    held = closeStalled(uses, held, terms, now, relief);
    const std::size_t ceiling = percentOf(terms.limit, ExhaustedPercent);
    const std::size_t room = ceiling - std::min(ceiling, held);
    if (memoryLevel(held, terms) >= MemoryLevel::Pausing) {
        pauseLargest(uses, room, now, relief);
    }
    if (memoryLevel(held, terms) < MemoryLevel::Exhausted && relief.paused.empty()) {
        resumeLongestPaused(uses, room, relief);
    }
    return relief;
}

MemoryBudget::MemoryBudget(Runtime &runtime, const MemoryTerms &terms)
    : runtime_(runtime)
    , terms_(terms)
{
}

MemoryBudget::~MemoryBudget()
{
    runtime_.cancel(timer_);
}

void MemoryBudget::setTerms(const MemoryTerms &terms)
{
    terms_ = terms;
    update();
}

void MemoryBudget::setLevelHandler(LevelHandler handler)
{
    onLevel_ = std::move(handler);
}

void MemoryBudget::add(Member &member)
{
    members_.push_back(&member);
}

void MemoryBudget::remove(Member &member)
{
    members_.erase(std::remove(members_.begin(), members_.end(), &member), members_.end());
}

void MemoryBudget::take(std::size_t bytes)
{
    held_ += bytes;
    counters_.peak = std::max(counters_.peak, held_);
    update();
}

void MemoryBudget::giveBack(std::size_t bytes)
{
    held_ -= std::min(held_, bytes);
    update();
}

bool MemoryBudget::tryTake(std::size_t bytes)
{
    if (!fits(bytes)) {
        return false;
    }
    take(bytes);
    return true;
}

bool MemoryBudget::admitsArrival(std::size_t received, std::size_t more) const
{
    const std::size_t bytes = received + more;
    const std::size_t room = bytes > LongArrivalBytes ? terms_.limit : terms_.limit + terms_.limit / OverdrawnDivisor;
    return bytes <= ShortArrivalBytes || held_ + more <= room;
}

bool MemoryBudget::admitsBody(std::size_t bytes) const
{
    const bool isAlone = held_ <= terms_.limit / AloneDivisor;
    return isAlone || (level_ < MemoryLevel::Refusing && held_ + bytes <= percentOf(terms_.limit, RefusingPercent));
}

void MemoryBudget::update()
{
    level_ = memoryLevel(held_, terms_);
    if (level_ != MemoryLevel::Calm && timer_ == 0) {
        timer_ = runtime_.schedule(Duration{0}, [this] { relieve(); });
    }
}

template<class Action>
void MemoryBudget::apply(const std::vector<Holder *> &holders, const std::vector<std::size_t> &chosen, const Action &action)
{
    for (const std::size_t index : chosen) {
        // Closing one connection may end another.
        Holder *const holder = holders[index];
        if (std::any_of(members_.begin(), members_.end(), [holder](const Member *member) { return member->contains(holder); })) {
            action(*holder);
        }
    }
}

void MemoryBudget::relieve()
{
    timer_ = 0;
    const TimePoint now = runtime_.now();
    if (reportedLevel_ != level_ && onLevel_) {
        onLevel_(std::exchange(reportedLevel_, level_), level_);
    }
    std::vector<Holder *> holders;
    for (Member *member : members_) {
        member->addHolders(holders);
    }
    std::vector<MemoryUse> uses;
    uses.reserve(holders.size());
    for (Holder *holder : holders) {
        uses.push_back(holder->memoryUse(now));
    }
    const MemoryRelief relief = planRelief(uses, held_, terms_, now);
    counters_.paused += relief.paused.size();
    counters_.closed += relief.closed.size();
    apply(holders, relief.closed, [](Holder &holder) { holder.closeForMemory(); });
    apply(holders, relief.paused, [now](Holder &holder) { holder.pauseReading(now); });
    apply(holders, relief.resumed, [](Holder &holder) { holder.resumeReading(); });
    const auto paused = static_cast<std::size_t>(std::count_if(uses.begin(), uses.end(), [](const MemoryUse &use) { return use.isPaused; }));
    const bool isAnyPaused = paused + relief.paused.size() > relief.resumed.size();
    if (timer_ != 0) {
        runtime_.cancel(timer_);
        timer_ = 0;
    }
    if (level_ != MemoryLevel::Calm || isAnyPaused || reportedLevel_ != level_) {
        timer_ = runtime_.schedule(ReliefInterval, [this] { relieve(); });
    }
}

SharedText heldIn(const std::shared_ptr<MemoryBudget> &budget, SharedText text)
{
    struct HeldText
    {
        HeldText(const std::shared_ptr<MemoryBudget> &account, SharedText shared)
            : text(std::move(shared))
            , bytes(text.text().capacity())
            , budget(account)
        {
            account->take(bytes);
        }
        ~HeldText()
        {
            // The text may outlive the account at the end of the process.
            if (const auto account = budget.lock()) {
                account->giveBack(bytes);
            }
        }
        HeldText(const HeldText &) = delete;
        HeldText &operator=(const HeldText &) = delete;

        const SharedText text;
        const std::size_t bytes;
        const std::weak_ptr<MemoryBudget> budget;
    };
    if (text.empty()) {
        return text;
    }
    const auto held = std::make_shared<const HeldText>(budget, std::move(text));
    return SharedText(std::shared_ptr<const std::string>(held, &held->text.text()));
}

} // namespace Burdock
