#pragma once

#include <burdock/router/headernames.h>
#include <burdock/routing/routingconfig.h>
#include <burdock/routing/servertable.h>
#include <burdock/store/store.h>
#include <burdock/values/failure.h>
#include <burdock/wire/httpserver.h>

#include <chrono>
#include <string>
#include <vector>

namespace Burdock
{

/// How a deployment spells what the router reads and says: names, keys and encodings. It translates and decides nothing.
class Dialect
{
public:
    virtual ~Dialect() = default;

    virtual const HeaderNames &headers() const = 0;

    /// The key of the routes in the store, and the prefixes of the servers' entries and of the instances' own records.
    virtual std::string configKey() const = 0;
    virtual std::string serversPrefix() const = 0;
    virtual std::string instancesPrefix() const = 0;

    /// The routes in a stored value; an error names every fault.
    virtual Result<RoutingConfig> readConfig(const std::string &value) const = 0;

    /// The server that an entry names; an error where it names none.
    virtual Result<ServerEntry> readServer(const std::string &key, const std::string &value) const = 0;

    /// The id of the server with an entry under the key.
    virtual ServerId serverIdFromKey(const std::string &key) const = 0;

    /// The paths of the readiness check and of the question which addresses to use, and the parameter that names the region.
    virtual std::string readinessPath() const = 0;
    virtual std::string directoryPath() const = 0;
    virtual std::string regionParameter() const = 0;

    /// The answer to which addresses to use.
    virtual HttpOutgoing directoryAnswer(const std::vector<Address> &addresses, std::chrono::seconds ttl) const = 0;
};

} // namespace Burdock
