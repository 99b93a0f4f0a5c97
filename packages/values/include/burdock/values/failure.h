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

/// Why a request failed. On the wire each value is represented by its name, see errcName.
enum class Errc {
    Ok = 0,
    /// The request could not be parsed or a field is out of range.
    BadRequest,
    /// The body or a header is over the limit.
    TooLarge,
    /// No such index, command or route.
    NotFound,
    /// The caller is not declared.
    UnknownCaller,
    /// The caller is declared, but not for this index or command.
    NotAllowed,
    /// The deadline has passed or cannot be met.
    DeadlineExceeded,
    /// The share of the rank is exhausted; retry after the time given.
    Overloaded,
    /// No replica, server or peer could be reached.
    Unavailable,
    /// This instance or server is leaving.
    Draining,
    /// The instance does not have a current configuration yet.
    NotReady,
    /// The server does not hold the index version that was named.
    WrongVersion,
    /// The server does not hold the shard or key range that was named.
    WrongShard,
    /// The coverage is below the declared minimum.
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
    /// An internal error.
    Internal,
};

/// Returns the stable name of an error on every interface, in lower camel case, such as `deadlineExceeded`.
std::string_view errcName(Errc code);

/// Returns the error with the given name; Errc::Internal for an unknown name, for example of a newer version.
Errc errcFromName(std::string_view name);

/// Returns the std::error_category of Errc.
const std::error_category &burdockCategory();

/// Converts an Errc to a std::error_code.
std::error_code make_error_code(Errc code);

/// The reason for a failure and whether the request may have run nevertheless.
struct Failure
{
    Errc code = Errc::Internal;
    Verdict verdict = Verdict::MayHaveRun;
    /// What happened and what the reader can do, in one sentence.
    std::string message;
    /// The time after which a retry may succeed; zero if unknown.
    Duration retryAfter{0};

    auto fields() const
    {
        return std::tie(code, verdict, message, retryAfter);
    }
};

/// A value or a Failure.
template<class T>
using Result = tl::expected<T, Failure>;

/// Creates the failure of a request that certainly did not run.
tl::unexpected<Failure> notRun(Errc code, std::string message, Duration retryAfter = Duration{0});

/// Creates the failure of a request that may have run.
tl::unexpected<Failure> mayHaveRun(Errc code, std::string message);

} // namespace Burdock

namespace std
{
template<>
struct is_error_code_enum<Burdock::Errc> : true_type
{
};
} // namespace std
