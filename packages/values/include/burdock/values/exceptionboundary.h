#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace Burdock
{

/// Work that ends if code that runs for it throws, such as a client's request.
class GuardedWork
{
public:
    virtual ~GuardedWork() = default;

    /// Ends the work. Whatever it has started may still be in progress.
    virtual void fail(const std::string &reason) = 0;
};

/// Keeps exceptions out of the event loop, whose C code they must not cross.
///
/// Each callback of the loop runs within a boundary. An exception ends the work for which the callback runs, is reported to the
/// handler, and leaves the process and all other work alone. Callbacks that are scheduled while some work is current run for that work.
class ExceptionBoundary
{
public:
    /// Called with the callback that threw, such as `timer`, and the exception's text.
    using Handler = std::function<void(std::string_view place, std::string_view reason)>;

    /// Sets the function that reports exceptions. Without one, they are written to standard error.
    void setHandler(Handler onCaught);

    /// Runs the action for the current work. Returns false if it threw.
    template<class Action>
    bool run(std::string_view place, Action &&action) noexcept
    {
        try {
            std::forward<Action>(action)();
            return true;
        } catch (...) {
            report(place);
            return false;
        }
    }

    /// Runs the action for this work, which may be null. Returns false if it threw.
    template<class Action>
    bool runFor(std::weak_ptr<GuardedWork> work, std::string_view place, Action &&action) noexcept
    {
        const Scope scope(*this, std::move(work));
        return run(place, std::forward<Action>(action));
    }

    /// The work for which code is running; expired if there is none.
    const std::weak_ptr<GuardedWork> &work() const
    {
        return work_;
    }

    /// The number of exceptions that were caught.
    const std::uint64_t &caught() const
    {
        return caught_;
    }

private:
    /// Makes some work the current one while it lives.
    class Scope
    {
    public:
        Scope(ExceptionBoundary &boundary, std::weak_ptr<GuardedWork> work)
            : boundary_(boundary)
            , before_(std::exchange(boundary.work_, std::move(work)))
        {
        }
        ~Scope()
        {
            boundary_.work_ = std::move(before_);
        }
        Scope(const Scope &) = delete;
        Scope &operator=(const Scope &) = delete;

    private:
        ExceptionBoundary &boundary_;
        std::weak_ptr<GuardedWork> before_;
    };

    /// Reports the exception that is being handled and ends the current work.
    void report(std::string_view place) noexcept;

    Handler onCaught_;
    std::weak_ptr<GuardedWork> work_;
    std::uint64_t caught_ = 0;
};

} // namespace Burdock
