#include <burdock/values/configuration.h>

#include <algorithm>

namespace Burdock
{

Duration longestWait(const Configuration &configuration)
{
    Duration longest{0};
    const auto collect = [&longest](const auto &declarations) {
        for (const auto &[name, declaration] : declarations) {
            for (const auto &[caller, rule] : declaration.callers) {
                longest = std::max(longest, rule.longestWait);
            }
        }
    };
    collect(configuration.indexes);
    collect(configuration.commands);
    return longest;
}

} // namespace Burdock
