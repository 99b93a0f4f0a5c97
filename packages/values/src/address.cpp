#include <burdock/values/address.h>

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace Burdock
{

namespace
{

bool isIpNumber(const std::string &host)
{
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    return inet_pton(AF_INET, host.c_str(), buffer.data()) == 1 || inet_pton(AF_INET6, host.c_str(), buffer.data()) == 1;
}

} // namespace

std::string Address::toString() const
{
    const bool isIpv6 = host.find(':') != std::string::npos;
    return (isIpv6 ? "[" + host + "]" : host) + ":" + std::to_string(port);
}

Result<Address> Address::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return notRun(Errc::BadRequest, "'" + std::string(text) + "' is not an address; write IP:PORT, such as 127.0.0.1:8080");
    }
    std::string_view host = text.substr(0, colon);
    if (host.size() > 1 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc() || end != digits.data() + digits.size() || !isIpNumber(std::string(host))) {
        return notRun(Errc::BadRequest, "'" + std::string(text) + "' is not an address; write IP:PORT, such as 127.0.0.1:8080");
    }
    return Address{std::string(host), port};
}

} // namespace Burdock
