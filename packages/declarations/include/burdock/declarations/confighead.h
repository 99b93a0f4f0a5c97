#pragma once

#include <burdock/values/failure.h>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace Burdock
{

/// The store key of the head record.
constexpr auto ConfigHeadKey = "burdock/config/head";

/// The store key of a file's text. It contains the hash, so its value never changes.
std::string configFileKey(const std::string &name, const std::string &hash);

/// The store key of a version's audit record.
std::string configAuditKey(std::uint64_t version);

/// The record of the accepted configuration. Written only on the condition that its modRevision is unchanged.
struct ConfigHead
{
    std::uint64_t version = 0;
    /// The id of the publish that wrote this head.
    std::string publishId;
    /// DeclarationSet::hash of the files.
    std::string hash;
    /// The hash of each file, by file name.
    std::map<std::string, std::string> files;

    auto fields() const
    {
        return std::tie(version, publishId, hash, files);
    }

    std::string toJson() const;

    /// Parses a record; BadRequest if it is malformed or if `hash` does not match `files`.
    static Result<ConfigHead> parse(const std::string &text);
};

/// The head as read from the store; version and modRevision are 0 before the first publish.
struct StoredHead
{
    ConfigHead head;
    std::int64_t modRevision = 0;
    /// The store's revision at the time of the read, where a watch can start.
    std::int64_t revision = 0;

    auto fields() const
    {
        return std::tie(head, modRevision, revision);
    }
};

/// The record of who changed what, when and why. Written in the same transaction as the head.
struct AuditRecord
{
    std::uint64_t version = 0;
    std::uint64_t base = 0;
    std::string publishId;
    std::string who;
    /// The publisher's wall-clock time, as RFC 3339 in UTC.
    std::string when;
    std::string why;
    /// The changes, in the format of diffText.
    std::string diff;

    auto fields() const
    {
        return std::tie(version, base, publishId, who, when, why, diff);
    }

    std::string toJson() const;
    static Result<AuditRecord> parse(const std::string &text);
};

} // namespace Burdock
