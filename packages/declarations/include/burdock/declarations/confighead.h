#pragma once

#include <burdock/values/failure.h>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace Burdock
{

/// The key of the head record.
constexpr auto ConfigHeadKey = "burdock/config/head";

/// The key of one file's text. The same key never holds another text.
std::string configFileKey(const std::string &name, const std::string &hash);

/// The key of a version's audit record.
std::string configAuditKey(std::uint64_t version);

/// The record that says which configuration is accepted. Changed only on the condition of its modRevision.
struct ConfigHead
{
    std::uint64_t version = 0;
    /// Names the publish that wrote this head.
    std::string publishId;
    /// DeclarationSet::hash of the files.
    std::string hash;
    /// The hash of each file by name.
    std::map<std::string, std::string> files;

    auto fields() const
    {
        return std::tie(version, publishId, hash, files);
    }

    std::string toJson() const;

    /// Reads a record; BadRequest where it is none, or where its hash is not that of its files.
    static Result<ConfigHead> parse(const std::string &text);
};

/// The head as the store holds it; version and modRevision are 0 before the first publish.
struct StoredHead
{
    ConfigHead head;
    std::int64_t modRevision = 0;
    /// The store's revision at the read, to start a watch from.
    std::int64_t revision = 0;

    auto fields() const
    {
        return std::tie(head, modRevision, revision);
    }
};

/// Who changed what, when and why. Written in the same transaction as the head.
struct AuditRecord
{
    std::uint64_t version = 0;
    std::uint64_t base = 0;
    std::string publishId;
    std::string who;
    /// The publisher's calendar time, as RFC 3339 in UTC.
    std::string when;
    std::string why;
    /// What changed, as diffText gives it.
    std::string diff;

    auto fields() const
    {
        return std::tie(version, base, publishId, who, when, why, diff);
    }

    std::string toJson() const;
    static Result<AuditRecord> parse(const std::string &text);
};

} // namespace Burdock
