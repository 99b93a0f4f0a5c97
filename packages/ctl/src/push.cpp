#include <burdock/ctl/subcommand.h>

#include <algorithm>
#include <map>
#include <set>

namespace Burdock
{

namespace
{

/// The number of instances per data centre that the configuration is sent to.
constexpr std::size_t PushesPerDataCentre = 2;
/// Larger changes are not sent; the instances read them from the store.
constexpr std::size_t MaxPushBytes = std::size_t{1024} * 1024;
/// The request number of the version requests that follow the push.
constexpr std::uint64_t VersionRequestNumber = 1;

std::vector<ListedInstance> chooseInstances(const InstanceList &list)
{
    std::map<Place, std::size_t> pushCounts;
    std::vector<ListedInstance> chosen;
    for (const ListedInstance &instance : list.instances) {
        if (!instance.leaving && pushCounts[instance.place]++ < PushesPerDataCentre) {
            chosen.push_back(instance);
        }
    }
    return chosen;
}

} // namespace

PushReport pushConfiguration(ToolContext &context, const ConfigPush &push, Duration limit)
{
    std::size_t bytes = 0;
    for (const ConfigFile &file : push.files) {
        bytes += file.text.size();
    }
    const auto list = readInstances(context, limit);
    if (!list || bytes > MaxPushBytes) {
        return {};
    }
    const std::vector<ListedInstance> instances = chooseInstances(*list);
    std::set<InstanceId> inForce;
    PeerLinks &links = context.links();
    links.setHandlers(
        [&](const InstanceId &from, const PeerMessage &message) {
            const auto *offer = std::get_if<ConfigOffer>(&message);
            if (offer != nullptr && offer->number == VersionRequestNumber && offer->version >= push.head.version) {
                inForce.insert(from);
            }
        },
        [](const InstanceId &) {});
    context.progress("sending the configuration to " + std::to_string(instances.size()) + " instances");
    for (const ListedInstance &instance : instances) {
        links.setPeer(instance.id, instance.peers);
        links.send(instance.id, ConfigOffer{0, push.head.version, push.head.toJson(), push.files, true});
        links.send(instance.id, ConfigFetch{VersionRequestNumber, VersionOnly, {}});
    }
    context.waitFor([&] { return inForce.size() == instances.size(); }, limit);
    for (const ListedInstance &instance : instances) {
        links.removePeer(instance.id);
    }
    links.setHandlers([](const InstanceId &, const PeerMessage &) {}, [](const InstanceId &) {});
    return {instances.size(), inForce.size()};
}

} // namespace Burdock
