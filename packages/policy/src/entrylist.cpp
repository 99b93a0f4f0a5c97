#include <burdock/policy/entrylist.h>
#include <burdock/policy/holderchoice.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Burdock
{

namespace
{

/// A candidate with the sort key of a weighted random order: exponentially distributed with the weight as rate,
/// lowest first.
struct RankedCandidate
{
    const ListedInstance *instance;
    Distance distance;
    double key;
};

bool ranksBefore(const RankedCandidate &a, const RankedCandidate &b)
{
    return a.distance != b.distance ? a.distance < b.distance : a.key < b.key;
}

bool isEligible(const EntryCandidate &candidate)
{
    return candidate.ready && !candidate.instance.leaving && candidate.weight > 0;
}

} // namespace

EntryList::EntryList(const EntryListSettings &settings, std::uint64_t seed)
    : settings_(settings)
    , random_(seed)
{
}

void EntryList::setCandidates(std::vector<EntryCandidate> candidates)
{
    candidates_ = std::move(candidates);
}

EntryAnswer EntryList::answerFor(const Place &caller)
{
    std::exponential_distribution<double> draw(1.0);
    std::vector<RankedCandidate> ranked;
    for (const EntryCandidate &candidate : candidates_) {
        if (isEligible(candidate)) {
            ranked.push_back({&candidate.instance, distanceBetween(caller, candidate.instance.place), draw(random_) / candidate.weight});
        }
    }
    std::sort(ranked.begin(), ranked.end(), ranksBefore);
    EntryAnswer answer{{}, settings_.maxAge};
    std::size_t selected = 0;
    for (std::size_t index = 0; index < ranked.size(); ++index) {
        selected = index > 0 && ranked[index].distance == ranked[index - 1].distance ? selected : 0;
        const bool nearest = ranked[index].distance == ranked.front().distance;
        if (selected < (nearest ? settings_.nearest : settings_.further)) {
            answer.entries.push_back(*ranked[index].instance);
            ++selected;
        }
    }
    return answer;
}

} // namespace Burdock
