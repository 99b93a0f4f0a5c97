#pragma once

#include <optional>
#include <string_view>

namespace Burdock
{

/// Whether a request may have taken effect at a backend server.
enum class Verdict {
    /// It did not run and will not run.
    NotRun,
    /// Nobody can say; it must not be run again unless it is idempotent.
    MayHaveRun,
    /// It ran.
    Ran,
};

/// The verdict's name on every interface: `notRun`, `mayHaveRun`, `ran`.
std::string_view verdictName(Verdict verdict);

/// The verdict of a name; nothing for an unknown name.
std::optional<Verdict> verdictFromName(std::string_view name);

} // namespace Burdock
