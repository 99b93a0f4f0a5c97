#pragma once

#include <burdock/values/comparison.h>
#include <burdock/values/runtime.h>
#include <burdock/values/verdict.h>

#include <string>
#include <system_error>
#include <tl/expected.hpp>
#include <tuple>

namespace Burdock
{

/// Why a request was not answered. Each value stands on the wire by its name, see errcName.
enum class Errc {
    Ok = 0,
    /// The request's text could not be understood or a field is out of bounds.
    BadRequest,
    /// The body or a header is over the limit.
    TooLarge,
    /// No such index, command or route.
    NotFound,
    /// The caller is not declared.
    UnknownCaller,
    /// The caller is declared, but not for this index or command.
    NotAllowed,
    /// The deadline is past or cannot be met.
    DeadlineExceeded,
    /// The rank's share is used up; come back after the time given.
    Overloaded,
    /// No replica, server or peer could be reached.
    Unavailable,
    /// This instance or server is leaving.
    Draining,
    /// The instance does not yet know a current configuration.
    NotReady,
    /// The server does not hold the index version that was named.
    WrongVersion,
    /// The server does not hold the shard or key range that was named.
    WrongShard,
    /// The coverage is below what the declaration asks for.
    CoverageTooLow,
    /// The idempotency key was claimed before and its outcome is not known.
    ClaimedElsewhere,
    /// The idempotency key is older than the claim window.
    KeyExpired,
    /// A compare-and-swap found another value than expected.
    Conflict,
    /// The connection broke, or the reply was malformed, after the request may have been sent.
    ConnectionLost,
    /// The request was cancelled by its sender.
    Cancelled,
    /// A fault of our own.
    Internal,
};

/// The stable name of an error on every interface, in lower camel case, such as `deadlineExceeded`.
std::string_view errcName(Errc code);

/// The error of a stable name; Errc::Internal for a name of a newer version.
Errc errcFromName(std::string_view name);

/// The category of Errc for std::error_code.
const std::error_category &burdockCategory();

/// Lets an Errc be used as a std::error_code.
std::error_code make_error_code(Errc code);

/// Why something failed, and whether it may have run all the same.
struct Failure
{
    Errc code = Errc::Internal;
    Verdict verdict = Verdict::MayHaveRun;
    /// What happened and what the reader can do, in one sentence.
    std::string message;
    /// When a new attempt may be worth it; zero when there is nothing to say.
    Duration retryAfter{0};

    auto fields() const
    {
        return std::tie(code, verdict, message, retryAfter);
    }
};

/// A value, or why there is none.
template<class T>
using Result = tl::expected<T, Failure>;

/// A failure of a request that certainly did not run.
tl::unexpected<Failure> notRun(Errc code, std::string message, Duration retryAfter = Duration{0});

/// A failure of a request that may have run.
tl::unexpected<Failure> mayHaveRun(Errc code, std::string message);

} // namespace Burdock

namespace std
{
template<>
struct is_error_code_enum<Burdock::Errc> : true_type
{
};
} // namespace std
