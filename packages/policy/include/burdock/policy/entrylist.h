#pragma once

#include <burdock/values/place.h>
#include <burdock/values/runtime.h>

#include <cstdint>
#include <random>
#include <tuple>
#include <vector>

namespace Burdock
{

/// An instance that callers might use.
struct EntryCandidate
{
    ListedInstance instance;
    /// Alive and admitting work, as far as is known.
    bool ready = false;
    /// Its share of new callers among the candidates of its distance; zero leaves it out.
    double weight = 1.0;

    auto fields() const
    {
        return std::tie(instance, ready, weight);
    }
};

/// How many entries an answer names and how long it holds.
struct EntryListSettings
{
    /// Entries of the nearest distance that has any.
    std::size_t nearest = 6;
    /// Entries of each further distance, for a caller whose near ones are all lost.
    std::size_t further = 2;
    /// How long a caller may keep the answer.
    Duration maxAge = std::chrono::seconds(10);
};

/// The answer to a caller that asks which instances to use.
struct EntryAnswer
{
    /// Nearest first; within one distance in the order in which the caller should try them.
    std::vector<ListedInstance> entries;
    Duration maxAge{0};

    auto fields() const
    {
        return std::tie(entries, maxAge);
    }
};

/// Chooses the addresses that a caller should use.
///
/// Instances that are leaving, by the list or by their own word, or that are not ready are left out. Within one distance the
/// order is drawn anew for each answer, by weight, so that callers spread over the instances without any agreement.
class EntryList
{
public:
    EntryList(const EntryListSettings &settings, std::uint64_t seed);

    /// Takes over the candidates; they serve until the next call.
    void setCandidates(std::vector<EntryCandidate> candidates);

    /// The answer for a caller at a place; a caller that does not say where it is counts as being at the instance's own place.
    EntryAnswer answerFor(const Place &caller);

private:
    EntryListSettings settings_;
    std::mt19937_64 random_;
    std::vector<EntryCandidate> candidates_;
};

} // namespace Burdock
