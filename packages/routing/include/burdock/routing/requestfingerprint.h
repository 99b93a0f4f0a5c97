#pragma once

#include <burdock/routing/backendrequests.h>

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>

namespace Burdock
{

/// Identifies what a client asks, whichever attempt or instance it comes in: a hash of the caller, the host, the method, the target
/// and the body. The ids of attempts are not part of it.
class RequestFingerprint
{
public:
    RequestFingerprint() = default;
    explicit RequestFingerprint(std::uint64_t hash)
        : hash_(hash)
    {
    }

    static RequestFingerprint of(const ClientRequest &request);

    std::uint64_t hash() const
    {
        return hash_;
    }

    /// Returns the hash in hexadecimal, for the log.
    std::string text() const;

    auto fields() const
    {
        return std::tie(hash_);
    }

private:
    std::uint64_t hash_ = 0;
};

} // namespace Burdock

namespace std
{

template<>
struct hash<Burdock::RequestFingerprint>
{
    size_t operator()(const Burdock::RequestFingerprint &fingerprint) const
    {
        return fingerprint.hash();
    }
};

} // namespace std
