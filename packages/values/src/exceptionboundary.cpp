#include <burdock/values/exceptionboundary.h>

#include <exception>
#include <iostream>

namespace Burdock
{

namespace
{

/// The text of the exception that is being handled.
std::string currentReason()
{
    try {
        throw;
    } catch (const std::exception &error) {
        return error.what();
    } catch (...) {
        return "an exception of another type";
    }
}

} // namespace

void ExceptionBoundary::setHandler(Handler onCaught)
{
    onCaught_ = std::move(onCaught);
}

void ExceptionBoundary::report(std::string_view place) noexcept
{
    ++caught_;
    std::string reason;
    // Reporting and ending the work may run out of memory as the callback did; each is tried.
    try {
        reason = currentReason();
        if (onCaught_) {
            onCaught_(place, reason);
        } else {
            std::cerr << "exception in " << place << ": " << reason << std::endl;
        }
    } catch (...) {
        ++caught_;
    }
    try {
        if (const auto work = std::exchange(work_, {}).lock()) {
            work->fail(reason);
        }
    } catch (...) {
        ++caught_;
    }
}

} // namespace Burdock
