#pragma once

#include <burdock/values/runtime.h>

#include <functional>
#include <memory>

struct event_base;

namespace Burdock
{

/// The event loop, clock and timers of a process, implemented with libevent.
class EventLoop final : public Runtime
{
public:
    EventLoop();
    ~EventLoop() override;
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    TimePoint now() const override;
    WallTime wallNow() const override;
    Duration suspended() const override;
    TimerId schedule(Duration delay, std::function<void()> callback) override;
    void cancel(TimerId timer) override;

    /// Processes events until `stop` is called.
    void run();

    /// Processes events until the condition holds or the limit has passed. Returns whether the condition holds. For tools and
    /// tests.
    bool runUntil(const std::function<bool()> &condition, Duration limit);

    /// Makes `run` return after the current iteration of the loop.
    void stop();

    /// Calls the handler from the loop whenever the process receives the signal.
    void addSignalHandler(int signal, std::function<void()> handler);

    /// The libevent base, for the other classes of this package.
    event_base *base() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Burdock
