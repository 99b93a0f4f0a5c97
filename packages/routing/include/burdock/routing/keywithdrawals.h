#pragma once

#include <burdock/routing/routingconfig.h>

#include <cstdint>
#include <map>
#include <string>

namespace Burdock
{

/// Remembers since which configuration each workspace has lost no key, by the configurations that this process had in force.
///
/// An instance that found a workspace by an older configuration may have done so by a key that was withdrawn since.
class KeyWithdrawals
{
public:
    /// Takes the next configuration in force; `before` is the last one, or null.
    void onConfig(const RoutingConfig &config, const RoutingConfig *before);

    /// Whether a key of the workspace, found by that version of the configuration, may have been withdrawn since.
    bool mayBeWithdrawn(const std::string &workspace, std::int64_t version) const;

private:
    std::map<std::string, std::int64_t> keptSince_;
};

} // namespace Burdock
