#pragma once

#include <string>
#include <string_view>

namespace Burdock
{

/// Writes a last log line when the process is ended by a fault of its own: a signal such as SIGSEGV, an uncaught exception, or a fatal
/// error of libevent.
///
/// The line is a JSON object with the event `ended`: the signal, the address that was accessed, the uncaught exception if there is one,
/// and the stack as offsets within the program and its shared libraries. It is written only if the descriptor accepts it without
/// blocking. Afterwards the signal takes its previous effect, so the exit status is that of the signal.
class CrashLog
{
public:
    /// Installs the handlers for the whole process. The main thread also gets a stack for them, because its own may have overflowed.
    /// Call it once, after all shared libraries were loaded.
    static void install(int descriptor, std::string_view instance);

    /// Sets the lines that wait to be written to the same descriptor; they follow the last line. Null if there are none any more.
    static void setWaiting(const std::string *lines);
};

} // namespace Burdock
