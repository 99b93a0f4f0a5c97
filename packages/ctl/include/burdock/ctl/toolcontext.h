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

/// The platform services, instance connections and output streams of a subcommand.
class ToolContext
{
public:
    virtual ~ToolContext() = default;

    virtual Runtime &runtime() = 0;
    virtual Store &store() = 0;
    virtual InstanceListSource &instanceList() = 0;
    virtual HttpClient &http() = 0;

    /// Connections to the peer addresses of the instances.
    virtual PeerLinks &links() = 0;

    /// Runs the event loop until `condition` holds or `limit` has passed; returns whether it holds.
    virtual bool waitFor(const std::function<bool()> &condition, Duration limit) = 0;

    /// The stream for results.
    virtual std::ostream &out() = 0;

    /// The stream for errors.
    virtual std::ostream &err() = 0;

    /// Shows the current step on a terminal; prints nothing if there is no terminal.
    virtual void progress(const std::string &step) = 0;

    /// Starts an asynchronous call and waits for its result; Unavailable with MayHaveRun if there is none within `limit`.
    template<class T>
    Result<T> await(Duration limit, const std::function<void(std::function<void(Result<T>)>)> &start)
    {
        // Shared because the callback may still run after the timeout.
        const auto result = std::make_shared<std::optional<Result<T>>>();
        start([result](Result<T> value) { *result = std::move(value); });
        if (!waitFor([&result] { return result->has_value(); }, limit)) {
            return mayHaveRun(Errc::Unavailable, "no answer in time");
        }
        return std::move(**result);
    }
};

/// Sets the verdict of a failed read to NotRun, because a read changes nothing.
template<class T>
Result<T> asReadResult(Result<T> result)
{
    return std::move(result).map_error([](Failure failure) {
        failure.verdict = Verdict::NotRun;
        return failure;
    });
}

/// Prints a failure and returns its exit code.
ExitCode reportFailure(ToolContext &context, const Failure &failure);

} // namespace Burdock
