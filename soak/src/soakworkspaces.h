#pragma once

#include <burdock/values/runtime.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Burdock
{

/// A key as a client uses it.
struct SoakKey
{
    std::string text;
    /// The workspace that holds or held the key; empty if none ever did.
    std::string workspace;
    /// Whether all configurations hold it, or did until it was withdrawn.
    bool isOriginal = false;
    std::optional<TimePoint> withdrawnAt;
};

/// A rate that a workspace may use from some time on.
struct SoakRate
{
    TimePoint since;
    double perSecond = 0;
};

/// The workspaces of a soak and their keys. Each has a key that stays and one that is replaced from time to time; clients go on with withdrawn ones.
class SoakWorkspaces
{
public:
    /// The workspace that has a rate.
    static constexpr const char *RatedName = "crane";
    static constexpr double Burst = 10;

    SoakWorkspaces(std::uint64_t seed, TimePoint now);

    /// The part of the configuration that names the workspaces.
    nlohmann::json entries() const;

    /// Replaces the key of a random workspace that is not there to stay.
    void replaceKey(TimePoint now);

    /// Raises the rate, or lowers it again if it is high.
    void changeRate(TimePoint now);

    /// The rates of the workspace that has one, in order of time.
    const std::vector<SoakRate> &rates() const
    {
        return rates_;
    }

    /// The key that stays of the workspace that has a rate.
    const SoakKey &ratedKey() const
    {
        return all_.back().lasting;
    }

    /// Draws the key of a client: mostly one in force, sometimes a withdrawn or an unknown one.
    SoakKey draw();

    /// The key that stays of a random workspace.
    const SoakKey &drawLasting();

    /// All keys that have been withdrawn.
    std::vector<SoakKey> withdrawn() const;

private:
    struct Workspace
    {
        std::string name;
        SoakKey lasting;
        SoakKey current;
        std::vector<SoakKey> withdrawn;
    };

    Workspace &drawWorkspace();

    std::mt19937_64 random_;
    std::vector<Workspace> all_;
    std::vector<SoakRate> rates_;
    int keys_ = 0;
};

} // namespace Burdock
