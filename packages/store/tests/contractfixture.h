#pragma once

#include <burdock/fakes/fakefleet.h>
#include <burdock/store/factories.h>
#include <burdock/wire/factories.h>

#include <nlohmann/json.hpp>
#include <optional>

namespace Burdock
{

/// Limits how long a test waits for a condition. No assertion depends on the time taken.
constexpr Duration HangGuard = std::chrono::seconds(20);

/// Fake services and an HTTP client on one event loop.
class ContractFixture
{
public:
    ContractFixture()
        : client(makeHttpClient(loop, ConnectionLimits{4, 4, 0}))
        , fleet(loop, loop.base(), FleetFile{})
    {
        const Address any{"127.0.0.1", 0};
        addresses = fleet.listen(FakeAddresses{any, any, any}).value();
    }

    /// Runs the loop until the callback has received a result.
    template<class T, class Start>
    Result<T> await(Start start)
    {
        std::optional<Result<T>> result;
        start([&result](Result<T> given) { result = std::move(given); });
        REQUIRE_FALSE(result);
        REQUIRE(loop.runUntil([&] { return result.has_value(); }, HangGuard));
        return *result;
    }

    void storeFaults(const nlohmann::json &change)
    {
        fleet.storePort().gate.setFaults(changeFaults(TransportFaults{}, change).value());
    }

    void listFaults(const nlohmann::json &change)
    {
        fleet.listPort().gate.setFaults(changeFaults(TransportFaults{}, change).value());
    }

    EventLoop loop;
    std::unique_ptr<HttpClient> client;
    FakeFleet fleet;
    FakeAddresses addresses;
};

} // namespace Burdock
