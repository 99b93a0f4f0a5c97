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

/// The names, keys and encodings that a deployment uses for what the router reads and writes. It only translates; it contains no
/// routing logic.
class Dialect
{
public:
    virtual ~Dialect() = default;

    virtual const HeaderNames &headers() const = 0;

    /// Returns the store key of the routes, and the prefixes of the servers' entries and of the instances' records.
    virtual std::string configKey() const = 0;
    virtual std::string serversPrefix() const = 0;
    virtual std::string instancesPrefix() const = 0;

    /// Returns the prefix of the operators' entries for the data centres that they have emptied.
    virtual std::string emptiedPrefix() const = 0;

    /// Parses the routes from a stored value; the error states why they cannot be read.
    virtual Result<RoutingConfig> readConfig(const std::string &value) const = 0;

    /// Parses a server's entry; returns an error if it does not describe a server.
    virtual Result<ServerEntry> readServer(const std::string &key, const std::string &value) const = 0;

    /// Returns the id of the server whose entry has this key.
    virtual ServerId serverIdFromKey(const std::string &key) const = 0;

    /// Returns the data centre that the entry with this key empties.
    virtual DataCentre dataCentreFromKey(const std::string &key) const = 0;

    /// Returns the paths of the readiness check and of the directory of addresses, and the query parameter for the client's region.
    virtual std::string readinessPath() const = 0;
    virtual std::string directoryPath() const = 0;
    virtual std::string regionParameter() const = 0;

    /// Creates the directory's response: the addresses that clients should use, valid for `ttl`.
    virtual HttpServerResponse directoryAnswer(const std::vector<Address> &addresses, std::chrono::seconds ttl) const = 0;
};

} // namespace Burdock
