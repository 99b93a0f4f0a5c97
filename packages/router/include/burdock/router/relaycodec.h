#pragma once

#include <burdock/store/store.h>
#include <burdock/values/failure.h>

#include <string>
#include <vector>

namespace Burdock
{

/// Encodes changes of the store as CBOR for another instance. Values are byte strings.
std::string writeChanges(const std::vector<StoreEntry> &entries);

/// Decodes changes; returns an error if the message is malformed.
Result<std::vector<StoreEntry>> readChanges(const std::string &bytes);

/// Encodes and decodes all keys under a prefix together with their revision.
std::string writeRange(const StoreRange &range);
Result<StoreRange> readRange(const std::string &bytes);

} // namespace Burdock
