#pragma once

#include <burdock/store/store.h>
#include <burdock/values/failure.h>

#include <map>
#include <string>
#include <vector>

namespace Burdock
{

/// The format of what instances tell each other about the store, which each response names in a header. Entries are lists in a fixed
/// order: a build that adds elements at the end keeps the number, since readers ignore what follows; any other change raises it.
struct RelayFormat
{
    static constexpr const char *Header = "relay-format";
    static constexpr int Current = 1;

    /// Whether a response with these headers, in lower case, can be read. Builds that name no format write the first one.
    static bool isReadable(const std::map<std::string, std::string> &headers);
};

/// Encodes changes of the store as CBOR for another instance. Values are byte strings.
std::string writeChanges(const std::vector<StoreEntry> &entries);

/// Decodes changes; returns an error if the message is malformed.
Result<std::vector<StoreEntry>> readChanges(const std::string &bytes);

/// Encodes and decodes all keys under a prefix together with their revision.
std::string writeRange(const StoreRange &range);
Result<StoreRange> readRange(const std::string &bytes);

} // namespace Burdock
