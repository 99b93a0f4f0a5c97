#include <burdock/routing/keywithdrawals.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Burdock
{

namespace
{

bool keepsKeys(const Workspace &before, const Workspace &now)
{
    const std::set<std::string> kept(now.keys.begin(), now.keys.end());
    return std::all_of(before.keys.begin(), before.keys.end(), [&kept](const std::string &key) { return kept.count(key) > 0; });
}

} // namespace

void KeyWithdrawals::onConfig(const RoutingConfig &config, const RoutingConfig *before)
{
    std::map<std::string, const Workspace *> known;
    if (before != nullptr) {
        for (const Workspace &workspace : before->workspaces) {
            known.emplace(workspace.name, &workspace);
        }
    }
    std::map<std::string, std::int64_t> keptSince;
    for (const Workspace &workspace : config.workspaces) {
        const auto earlier = known.find(workspace.name);
        const bool kept = earlier != known.end() && keepsKeys(*earlier->second, workspace);
        keptSince.emplace(workspace.name, kept ? keptSince_.at(workspace.name) : config.version);
    }
    keptSince_ = std::move(keptSince);
}

bool KeyWithdrawals::mayBeWithdrawn(const std::string &workspace, std::int64_t version) const
{
    const auto since = keptSince_.find(workspace);
    return since == keptSince_.end() || version < since->second;
}

} // namespace Burdock
