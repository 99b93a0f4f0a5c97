#pragma once

#include <burdock/values/failure.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace Burdock
{

/// An IP address and a port. IPv6 addresses are written in brackets.
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    auto fields() const
    {
        return std::tie(host, port);
    }

    /// `host:port`, with brackets around an IPv6 address.
    std::string toString() const;

    /// Parses `host:port`. Fails with BadRequest for host names, because instances connect by IP address.
    static Result<Address> parse(std::string_view text);
};

} // namespace Burdock
