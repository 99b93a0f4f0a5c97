#include <burdock/policy/entrylist.h>
#include <burdock/policy/holderchoice.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Burdock
{

namespace
{

/// A candidate with the key of its weighted draw: exponentially distributed with the weight as its rate, lowest first.
struct Drawn
{
    const ListedInstance *instance;
    Distance distance;
    double key;
};

bool comesBefore(const Drawn &a, const Drawn &b)
{
    return a.distance != b.distance ? a.distance < b.distance : a.key < b.key;
}

bool serves(const EntryCandidate &candidate)
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
    std::vector<Drawn> drawn;
    for (const EntryCandidate &candidate : candidates_) {
        if (serves(candidate)) {
            drawn.push_back({&candidate.instance, distanceBetween(caller, candidate.instance.place), draw(random_) / candidate.weight});
        }
    }
    std::sort(drawn.begin(), drawn.end(), comesBefore);
    EntryAnswer answer{{}, settings_.maxAge};
    std::size_t taken = 0;
    for (std::size_t index = 0; index < drawn.size(); ++index) {
        taken = index > 0 && drawn[index].distance == drawn[index - 1].distance ? taken : 0;
        const bool nearest = drawn[index].distance == drawn.front().distance;
        if (taken < (nearest ? settings_.nearest : settings_.further)) {
            answer.entries.push_back(*drawn[index].instance);
            ++taken;
        }
    }
    return answer;
}

} // namespace Burdock
