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

/// The workspaces of a soak and their keys. Each has a key that stays and one that is replaced from time to time; clients go on with withdrawn ones.
class SoakWorkspaces
{
public:
    explicit SoakWorkspaces(std::uint64_t seed);

    /// The part of the configuration that names the workspaces.
    nlohmann::json entries() const;

    /// Replaces the key of a random workspace that is not there to stay.
    void replaceKey(TimePoint now);

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
    int keys_ = 0;
};

} // namespace Burdock
