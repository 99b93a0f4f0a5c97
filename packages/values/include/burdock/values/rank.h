#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace Burdock
{

/// How urgent a piece of work is; declared per caller, never chosen by the caller itself.
enum class Rank {
    /// Someone stands waiting: the technician at the line, the officer at the shaft head.
    Urgent,
    /// Someone works with the answer: the dealer, the inspector.
    Interactive,
    /// Nobody waits, but it must arrive: archive pulls.
    Batch,
};

/// How many ranks there are.
constexpr std::size_t RankCount = 3;

/// All ranks, most urgent first.
constexpr std::array<Rank, RankCount> AllRanks{Rank::Urgent, Rank::Interactive, Rank::Batch};

/// One value per rank, most urgent first.
template<class T>
using PerRank = std::array<T, RankCount>;

/// The place of a rank in a PerRank.
constexpr std::size_t rankIndex(Rank rank)
{
    return static_cast<std::size_t>(rank);
}

/// The rank's name in files, headers and metrics.
std::string_view rankName(Rank rank);

/// The rank of a name; nothing for an unknown name.
std::optional<Rank> rankFromName(std::string_view name);

} // namespace Burdock
