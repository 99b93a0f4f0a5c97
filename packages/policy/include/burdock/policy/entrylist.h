#pragma once

#include <burdock/values/place.h>
#include <burdock/values/runtime.h>

#include <cstdint>
#include <random>
#include <tuple>
#include <vector>

namespace Burdock
{

/// An instance that may be offered to callers.
struct EntryCandidate
{
    ListedInstance instance;
    /// Alive and admitting work, according to the last known state.
    bool ready = false;
    /// Relative share of new callers among the candidates at the same distance; zero excludes the instance.
    double weight = 1.0;

    auto fields() const
    {
        return std::tie(instance, ready, weight);
    }
};

/// Size and lifetime of an answer.
struct EntryListSettings
{
    /// Maximum number of entries at the nearest distance that has any.
    std::size_t nearest = 6;
    /// Maximum number of entries at each further distance, as a fallback if all near ones fail.
    std::size_t further = 2;
    /// How long a caller may cache the answer.
    Duration maxAge = std::chrono::seconds(10);
};

/// The list of instances returned to a caller.
struct EntryAnswer
{
    /// Nearest first; within one distance, in the order in which the caller should try them.
    std::vector<ListedInstance> entries;
    Duration maxAge{0};

    auto fields() const
    {
        return std::tie(entries, maxAge);
    }
};

/// Selects the instances that a caller should use.
///
/// Instances that are not ready, or are leaving according to the list or to themselves, are excluded. Within one
/// distance, each answer is a new weighted random order, so callers spread over the instances without coordination.
class EntryList
{
public:
    EntryList(const EntryListSettings &settings, std::uint64_t seed);

    /// Replaces the candidates.
    void setCandidates(std::vector<EntryCandidate> candidates);

    /// Returns the answer for a caller at a place. Callers that do not give their place are treated as being at the
    /// place of this instance.
    EntryAnswer answerFor(const Place &caller);

private:
    EntryListSettings settings_;
    std::mt19937_64 random_;
    std::vector<EntryCandidate> candidates_;
};

} // namespace Burdock
