#pragma once

#include <burdock/routing/routingconfig.h>

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Burdock
{

/// Finds the workspace that holds a key.
///
/// Keys are found by a digest that is seeded for each table, and then compared in a time that does not depend on where they differ, so
/// that the time of an answer tells nothing about the keys in force.
class WorkspaceTable
{
public:
    /// The configuration must outlive the table. Of workspaces that hold the same key, the first has it; empty keys identify none.
    explicit WorkspaceTable(const RoutingConfig &config);

    /// Returns the workspace that holds the key, or null.
    const Workspace *findByKey(std::string_view key) const;

    /// Returns the workspace of this name, or null.
    const Workspace *findByName(std::string_view name) const;

private:
    struct Holder
    {
        std::string_view key;
        const Workspace *workspace = nullptr;
    };

    std::uint64_t digestOf(std::string_view key) const;

    const std::uint64_t seed_;
    std::unordered_multimap<std::uint64_t, Holder> holders_;
    std::unordered_map<std::string_view, const Workspace *> names_;
};

} // namespace Burdock
