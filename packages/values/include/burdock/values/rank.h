#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace Burdock
{

/// The priority of a request; declared per caller, never chosen by the caller itself.
enum class Rank {
    /// A person is blocked until the answer arrives, such as a technician at the line or an officer at the shaft head.
    Urgent,
    /// A person works with the answer interactively, such as a dealer or an inspector.
    Interactive,
    /// No person waits, but the answer must arrive, such as for archive pulls.
    Batch,
};

/// The number of ranks.
constexpr std::size_t RankCount = 3;

/// All ranks, most urgent first.
constexpr std::array<Rank, RankCount> AllRanks{Rank::Urgent, Rank::Interactive, Rank::Batch};

/// One value per rank, most urgent first.
template<class T>
using PerRank = std::array<T, RankCount>;

/// Returns the index of a rank in a PerRank.
constexpr std::size_t rankIndex(Rank rank)
{
    return static_cast<std::size_t>(rank);
}

/// Returns the rank's name in files, headers and metrics.
std::string_view rankName(Rank rank);

/// Returns the rank with the given name; nullopt for an unknown name.
std::optional<Rank> rankFromName(std::string_view name);

} // namespace Burdock
