#pragma once

namespace Burdock
{

/// How burdockctl ends, for scripts.
enum class ExitCode {
    /// Done.
    Ok = 0,
    /// The declarations have faults, differ from the store (diff), or instances are behind (status).
    ProblemsFound = 1,
    /// The command line is wrong.
    Usage = 2,
    /// Another change came first; nothing was written.
    Conflict = 3,
    /// Nothing was changed: the store or instances could not be reached, or they refused.
    NotRun = 4,
    /// Nobody can say whether it took effect; the message tells how to settle it.
    MayHaveRun = 5,
};

} // namespace Burdock
