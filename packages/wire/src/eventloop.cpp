#include <burdock/wire/eventloop.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <event2/event.h>
#include <event2/event_struct.h>
#include <new>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Burdock
{

namespace
{

timeval toTimeval(Duration span)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(span);
    return {static_cast<time_t>(seconds.count()), static_cast<suseconds_t>((span - seconds).count())};
}

Duration readClock(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec));
}

event_base *newBase()
{
    event_config *config = event_config_new();
    if (config == nullptr) {
        throw std::bad_alloc();
    }
    // Without this flag libevent uses a clock with a resolution of a few milliseconds, and timers fire early.
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    event_base *base = event_base_new_with_config(config);
    event_config_free(config);
    if (base == nullptr) {
        throw std::bad_alloc();
    }
    return base;
}

} // namespace

class EventLoop::Private
{
public:
    struct Timer
    {
        Private *owner = nullptr;
        TimerId id = 0;
        event handle{};
        std::function<void()> callback;
        std::weak_ptr<GuardedWork> work;
    };

    struct Signal
    {
        ExceptionBoundary *boundary = nullptr;
        event *handle = nullptr;
        std::function<void()> callback;
    };

    explicit Private(ExceptionBoundary &boundary)
        : boundary_(boundary)
        , base_(newBase())
    {
    }

    ~Private()
    {
        for (auto &[id, timer] : timers_) {
            event_del(&timer->handle);
        }
        for (auto &signal : signals_) {
            event_free(signal->handle);
        }
        event_base_free(base_);
    }

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    static void onTimer(evutil_socket_t, short, void *context)
    {
        auto *timer = static_cast<Timer *>(context);
        // Remove the timer before the call, because the callback may schedule or cancel timers, including this one.
        Private &owner = *timer->owner;
        const auto node = owner.timers_.extract(timer->id);
        owner.boundary_.runFor(node.mapped()->work, "timer", node.mapped()->callback);
    }

    static void onSignal(evutil_socket_t, short, void *context)
    {
        auto *signal = static_cast<Signal *>(context);
        signal->boundary->run("signal", signal->callback);
    }

    ExceptionBoundary &boundary_;
    event_base *base_;
    TimerId lastId_ = 0;
    std::unordered_map<TimerId, std::unique_ptr<Timer>> timers_;
    std::vector<std::unique_ptr<Signal>> signals_;
};

EventLoop::EventLoop()
    : d_(std::make_unique<Private>(boundary()))
{
    // Writing to a connection that the peer has closed must fail with an error instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() = default;

TimePoint EventLoop::now() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

WallTime EventLoop::wallNow() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

Duration EventLoop::suspended() const
{
    return readClock(CLOCK_BOOTTIME) - readClock(CLOCK_MONOTONIC);
}

TimerId EventLoop::schedule(Duration delay, std::function<void()> callback)
{
    auto timer = std::make_unique<Private::Timer>();
    timer->owner = d_.get();
    timer->id = ++d_->lastId_;
    timer->callback = std::move(callback);
    timer->work = boundary().work();
    evtimer_assign(&timer->handle, d_->base_, &Private::onTimer, timer.get());
    const timeval wait = toTimeval(std::max(delay, Duration{0}));
    // libevent counts from its cached time, which stands still during a callback: without this, timers fire early by as much as
    // the callback has run so far.
    event_base_update_cache_time(d_->base_);
    evtimer_add(&timer->handle, &wait);
    const TimerId id = timer->id;
    d_->timers_.emplace(id, std::move(timer));
    return id;
}

void EventLoop::cancel(TimerId timer)
{
    const auto found = d_->timers_.find(timer);
    if (found != d_->timers_.end()) {
        event_del(&found->second->handle);
        d_->timers_.erase(found);
    }
}

void EventLoop::run()
{
    event_base_loop(d_->base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

bool EventLoop::runUntil(const std::function<bool()> &condition, Duration limit)
{
    bool timedOut = false;
    const TimerId timer = schedule(limit, [&timedOut] { timedOut = true; });
    while (!timedOut && !condition()) {
        event_base_loop(d_->base_, EVLOOP_ONCE);
    }
    cancel(timer);
    return condition();
}

void EventLoop::stop()
{
    event_base_loopexit(d_->base_, nullptr);
}

void EventLoop::addSignalHandler(int signal, std::function<void()> handler)
{
    auto entry = std::make_unique<Private::Signal>();
    entry->boundary = &boundary();
    entry->callback = std::move(handler);
    entry->handle = evsignal_new(d_->base_, signal, &Private::onSignal, entry.get());
    event_add(entry->handle, nullptr);
    d_->signals_.push_back(std::move(entry));
}

event_base *EventLoop::base() const
{
    return d_->base_;
}

} // namespace Burdock
