#include <burdock/routing/requestfingerprint.h>

#include <burdock/policy/rendezvous.h>

#include <array>
#include <cstdio>

namespace Burdock
{

RequestFingerprint RequestFingerprint::of(const ClientRequest &request)
{
    const auto header = [&request](const std::string &name) {
        const auto found = request.headers.find(name);
        return found == request.headers.end() ? std::string() : found->second;
    };
    std::string text;
    for (const std::string &part : {header("x-caller"), header("authorization"), header("host"), request.method, request.target}) {
        // The length keeps the parts apart.
        text.append(std::to_string(part.size())).append(":").append(part);
    }
    text.append(request.body);
    return RequestFingerprint(rendezvousHash(text));
}

std::string RequestFingerprint::text() const
{
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(hash_));
    return digits.data();
}

} // namespace Burdock
