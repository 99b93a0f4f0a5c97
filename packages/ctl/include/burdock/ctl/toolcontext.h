#pragma once

#include <burdock/ctl/exitcode.h>
#include <burdock/store/instancelistsource.h>
#include <burdock/store/store.h>
#include <burdock/values/optiontable.h>
#include <burdock/wire/httpclient.h>
#include <burdock/wire/peerlinks.h>

#include <functional>
#include <iosfwd>
#include <memory>
#include <optional>
#include <string>

namespace Burdock
{

/// What a subcommand works with: the platform, the instances, and where it writes.
class ToolContext
{
public:
    virtual ~ToolContext() = default;

    virtual Runtime &runtime() = 0;
    virtual Store &store() = 0;
    virtual InstanceListSource &instanceList() = 0;
    virtual HttpClient &http() = 0;

    /// Links with the instances' peer addresses.
    virtual PeerLinks &links() = 0;

    /// Lets the loop run until the condition holds or the time is up; true where it holds.
    virtual bool waitFor(const std::function<bool()> &condition, Duration limit) = 0;

    /// For results.
    virtual std::ostream &out() = 0;

    /// For faults and refusals.
    virtual std::ostream &err() = 0;

    /// Tells a person at a terminal what a long step is about; silent elsewhere.
    virtual void progress(const std::string &step) = 0;

    /// Runs something that calls back once and gives its result; Unavailable where the time is up first.
    template<class T>
    Result<T> await(Duration limit, const std::function<void(std::function<void(Result<T>)>)> &start)
    {
        // Shared, since a call that timed out may still call back.
        const auto result = std::make_shared<std::optional<Result<T>>>();
        start([result](Result<T> value) { *result = std::move(value); });
        if (!waitFor([&result] { return result->has_value(); }, limit)) {
            return mayHaveRun(Errc::Unavailable, "no answer in time");
        }
        return std::move(**result);
    }
};

/// The same result, with the verdict that is true of a read: nothing was changed.
template<class T>
Result<T> asReadResult(Result<T> result)
{
    return std::move(result).map_error([](Failure failure) {
        failure.verdict = Verdict::NotRun;
        return failure;
    });
}

/// Writes a failure and gives its exit code.
ExitCode reportFailure(ToolContext &context, const Failure &failure);

} // namespace Burdock
