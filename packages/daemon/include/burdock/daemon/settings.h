#pragma once

#include <burdock/values/failure.h>
#include <burdock/values/optiontable.h>
#include <burdock/values/place.h>

#include <cstdint>
#include <string>

namespace Burdock
{

/// The validated settings of one burdockd process.
struct Settings
{
    InstanceId id;
    Place place;
    Address callers;
    Address peers;
    Address store;
    Address instanceList;
    /// How long callers may cache the response to `GET /v1/entries`.
    Duration entriesMaxAge{0};
    /// How long peers may take until none of them lists an instance that is leaving.
    Duration leaveSpread{0};
    /// The timeout of one call to the store.
    Duration storeTimeout{0};
    /// The memory of the process's machine, in MB.
    std::size_t memoryMb = 0;
    /// `text` or `json`.
    std::string logFormat;
    /// `debug`, `info`, `warn` or `error`.
    std::string logLevel;

    auto fields() const
    {
        return std::tie(id, place, callers, peers, store, instanceList, entriesMaxAge, leaveSpread, storeTimeout, memoryMb, logFormat, logLevel);
    }
};

/// Returns the flags and environment variables of burdockd.
const OptionTable &settingsTable();

/// Validates all values. The error message has one line per invalid setting, with its name, its value and the allowed values.
Result<Settings> checkSettings(const OptionValues &values);

} // namespace Burdock
