#pragma once

#include <burdock/routing/routingconfig.h>
#include <burdock/routing/serverlimits.h>

#include <map>
#include <unordered_map>

namespace Burdock
{

/// Decides who may send to a server that is cold.
///
/// Load: many servers that start at the same time, as when a whole data centre returns, while all instances wait to use them. A cold
/// server takes fewer requests than a warm one, and crashes above its rate. The rate of its service holds for all instances
/// together and is divided among them as limits that servers name are, with terms of its own: ServerLimits has the mechanism.
///
/// How long a server stays cold is known from its entry; a later entry counts anew. Services without a rate are not limited.
class ColdServers
{
public:
    ColdServers(InstanceId self, const LimitTerms &terms, ServerLimits::ReportHandler onReport);

    /// Sets the rates of cold servers by service; those that are cold already keep theirs.
    void setServices(const std::vector<RoutedService> &services);

    /// Sets the instances that clients are directed to; none while they are not known.
    void setSenders(const std::vector<InstanceId> &senders, TimePoint now);

    /// Takes note of an entry that was read, also of one that changes nothing else.
    void onEntry(const ServerEntry &server, TimePoint now);

    /// Whether a request of the priority may be sent to the server now.
    bool allows(const ServerId &server, std::int64_t priority, bool repeat, TimePoint now);

    /// Takes a token for a request that is sent to the server.
    void onSent(const ServerId &server, std::int64_t priority, bool repeat, TimePoint now);

    /// Records that a request was refused because none of the servers allowed it, and returns the time until one of them can take it;
    /// zero if one of them is not cold, or if this instance shares in none of them.
    Duration refuse(const std::vector<ServerHandle> &servers, std::int64_t priority, TimePoint now);

    /// Whether any server is cold and limited.
    bool any() const
    {
        return !cold_.empty();
    }

    /// Returns the number of servers that are cold and limited.
    std::size_t count() const
    {
        return cold_.size();
    }

    /// Ends the limits of servers that are warm by now.
    void update(TimePoint now);

private:
    struct Cold
    {
        ServerEntry entry;
        TimePoint until{};
    };

    std::unordered_map<ServiceName, double> rates_;
    std::map<ServerId, Cold> cold_;
    /// Before this time no server gets warm.
    TimePoint nextWarm_ = TimePoint::max();
    ServerLimits limits_;
};

} // namespace Burdock
