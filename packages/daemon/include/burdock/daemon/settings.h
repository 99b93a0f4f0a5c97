#pragma once

#include <burdock/values/failure.h>
#include <burdock/values/optiontable.h>
#include <burdock/values/place.h>

#include <cstdint>
#include <string>

namespace Burdock
{

/// The checked settings of one burdockd process.
struct Settings
{
    InstanceId id;
    Place place;
    Address callers;
    Address peers;
    Address store;
    Address instanceList;
    /// How long callers may keep the answer of `GET /v1/entries`.
    Duration entriesMaxAge{0};
    /// How long it takes until no peer names an instance that is leaving.
    Duration leaveSpread{0};
    /// How long one call to the store may take.
    Duration storeTimeout{0};
    /// `text` or `json`.
    std::string logFormat;
    /// `debug`, `info`, `warn` or `error`.
    std::string logLevel;

    auto fields() const
    {
        return std::tie(id, place, callers, peers, store, instanceList, entriesMaxAge, leaveSpread, storeTimeout, logFormat, logLevel);
    }
};

/// The flags and environment variables of burdockd.
const OptionTable &settingsTable();

/// Checks all values; the failure's message has one line for each fault, with name, value and what is allowed.
Result<Settings> checkSettings(const OptionValues &values);

} // namespace Burdock
