#include "soakworkspaces.h"

namespace Burdock
{

namespace
{

constexpr double LastingFraction = 0.7;
constexpr double CurrentFraction = 0.2;
constexpr double WithdrawnFraction = 0.08;
constexpr double HighRate = 20;
constexpr double LowRate = 4;

} // namespace

SoakWorkspaces::SoakWorkspaces(std::uint64_t seed, TimePoint now)
    : random_(seed)
    , rates_{{now, LowRate}}
{
    for (const char *name : {"yard", "haul", "mill", RatedName}) {
        const std::string workspace = name;
        all_.push_back({workspace, {"key-stays-" + workspace, workspace, true, {}}, {"key-first-" + workspace, workspace, true, {}}, {}});
    }
}

nlohmann::json SoakWorkspaces::entries() const
{
    nlohmann::json entries = nlohmann::json::array();
    for (const Workspace &each : all_) {
        entries.push_back({{"name", each.name}, {"apiKeys", {each.lasting.text, each.current.text}}});
        if (each.name == RatedName) {
            entries.back().update({{"ratePerS", rates_.back().perSecond}, {"burst", Burst}});
        }
    }
    return entries;
}

void SoakWorkspaces::replaceKey(TimePoint now)
{
    Workspace &workspace = drawWorkspace();
    workspace.withdrawn.push_back(workspace.current);
    workspace.withdrawn.back().withdrawnAt = now;
    workspace.current = {"key-" + std::to_string(++keys_) + "-" + workspace.name, workspace.name, false, {}};
}

void SoakWorkspaces::changeRate(TimePoint now)
{
    rates_.push_back({now, rates_.back().perSecond == HighRate ? LowRate : HighRate});
}

SoakKey SoakWorkspaces::draw()
{
    const Workspace &workspace = drawWorkspace();
    const double choice = std::uniform_real_distribution<double>()(random_);
    if (choice < LastingFraction || (choice >= LastingFraction + CurrentFraction && workspace.withdrawn.empty())) {
        return workspace.lasting;
    }
    if (choice < LastingFraction + CurrentFraction) {
        return workspace.current;
    }
    if (choice < LastingFraction + CurrentFraction + WithdrawnFraction) {
        return workspace.withdrawn[random_() % workspace.withdrawn.size()];
    }
    return {random_() % 2 == 0 ? "key-unknown" : "", "", false, {}};
}

const SoakKey &SoakWorkspaces::drawLasting()
{
    return drawWorkspace().lasting;
}

std::vector<SoakKey> SoakWorkspaces::withdrawn() const
{
    std::vector<SoakKey> all;
    for (const Workspace &each : all_) {
        all.insert(all.end(), each.withdrawn.begin(), each.withdrawn.end());
    }
    return all;
}

SoakWorkspaces::Workspace &SoakWorkspaces::drawWorkspace()
{
    return all_[random_() % all_.size()];
}

} // namespace Burdock
