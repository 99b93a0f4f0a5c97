#pragma once

#include <optional>
#include <string_view>

namespace Burdock
{

/// Whether a request may have taken effect at a backend server.
enum class Verdict {
    /// It did not run and will not run.
    NotRun,
    /// Unknown; the request must not be repeated unless it is idempotent.
    MayHaveRun,
    /// It ran.
    Ran,
};

/// Returns the verdict's name on every interface: `notRun`, `mayHaveRun`, `ran`.
std::string_view verdictName(Verdict verdict);

/// Returns the verdict with the given name; nullopt for an unknown name.
std::optional<Verdict> verdictFromName(std::string_view name);

} // namespace Burdock
