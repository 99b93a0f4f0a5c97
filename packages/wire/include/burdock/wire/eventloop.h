#pragma once

#include <burdock/values/runtime.h>

#include <functional>
#include <memory>

struct event_base;

namespace Burdock
{

/// The one loop of a process, on libevent; also its clock and timers.
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

    /// Runs until stop.
    void run();

    /// Runs until the condition holds or the time is up; true where it holds. For tools and tests.
    bool runUntil(const std::function<bool()> &condition, Duration limit);

    /// Ends `run` after the current turn.
    void stop();

    /// Calls the handler from the loop when the process gets the signal.
    void onSignal(int signal, std::function<void()> handler);

    /// The libevent base, for the adapters of this package.
    event_base *base() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Burdock
