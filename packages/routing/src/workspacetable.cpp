#include <burdock/routing/workspacetable.h>

#include <random>
#include <xxhash.h>

namespace Burdock
{

namespace
{

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/// Compares all bytes, wherever the first difference is.
bool equalInConstantTime(std::string_view a, std::string_view b)
{
    if (a.size() != b.size()) {
        return false;
    }
    unsigned char difference = 0;
    for (std::size_t at = 0; at < a.size(); ++at) {
        difference |= static_cast<unsigned char>(a[at]) ^ static_cast<unsigned char>(b[at]);
    }
    return difference == 0;
}

} // namespace

WorkspaceTable::WorkspaceTable(const RoutingConfig &config)
    : seed_(randomSeed())
{
    for (const Workspace &workspace : config.workspaces) {
        names_.try_emplace(workspace.name, &workspace);
        for (const std::string &key : workspace.keys) {
            if (!key.empty() && findByKey(key) == nullptr) {
                holders_.emplace(digestOf(key), Holder{key, &workspace});
            }
        }
    }
}

std::uint64_t WorkspaceTable::digestOf(std::string_view key) const
{
    return XXH3_64bits_withSeed(key.data(), key.size(), seed_);
}

const Workspace *WorkspaceTable::findByKey(std::string_view key) const
{
    const auto [begin, end] = holders_.equal_range(digestOf(key));
    for (auto at = begin; at != end; ++at) {
        if (equalInConstantTime(at->second.key, key)) {
            return at->second.workspace;
        }
    }
    return nullptr;
}

const Workspace *WorkspaceTable::findByName(std::string_view name) const
{
    const auto found = names_.find(name);
    return found == names_.end() ? nullptr : found->second;
}

} // namespace Burdock
