#include <burdock/values/verdict.h>

#include <array>

namespace Burdock
{

namespace
{
constexpr std::array<std::string_view, 3> VerdictNames{"notRun", "mayHaveRun", "ran"};
}

std::string_view verdictName(Verdict verdict)
{
    return VerdictNames[static_cast<std::size_t>(verdict)];
}

std::optional<Verdict> verdictFromName(std::string_view name)
{
    for (const Verdict verdict : {Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran}) {
        if (verdictName(verdict) == name) {
            return verdict;
        }
    }
    return std::nullopt;
}

} // namespace Burdock
