#include <burdock/values/rank.h>

namespace Burdock
{

namespace
{
constexpr PerRank<std::string_view> RankNames{"urgent", "interactive", "batch"};
}

std::string_view rankName(Rank rank)
{
    return RankNames[rankIndex(rank)];
}

std::optional<Rank> rankFromName(std::string_view name)
{
    for (const Rank rank : AllRanks) {
        if (rankName(rank) == name) {
            return rank;
        }
    }
    return std::nullopt;
}

} // namespace Burdock
