#pragma once

namespace Burdock
{

/// The exit codes of burdockctl.
enum class ExitCode {
    /// Success.
    Ok = 0,
    /// The declarations have faults, they differ from the store (diff), or an instance has another version or does not
    /// answer (status).
    ProblemsFound = 1,
    /// The command line is invalid.
    Usage = 2,
    /// Another change was published first; nothing was written.
    Conflict = 3,
    /// Nothing was changed: the store or the instances were unreachable or refused the request.
    NotRun = 4,
    /// The change may have taken effect; the error message says how to find out.
    MayHaveRun = 5,
};

} // namespace Burdock
