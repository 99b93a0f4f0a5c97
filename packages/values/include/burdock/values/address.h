#pragma once

#include <burdock/values/failure.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace Burdock
{

/// An IP number and a port. IPv6 numbers are written in brackets.
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    auto fields() const
    {
        return std::tie(host, port);
    }

    /// `host:port`, with brackets round an IPv6 number.
    std::string toString() const;

    /// Reads `host:port`; host names are refused, since instances talk by IP number.
    static Result<Address> parse(std::string_view text);
};

} // namespace Burdock
