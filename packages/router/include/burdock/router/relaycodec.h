#pragma once

#include <burdock/store/store.h>
#include <burdock/values/failure.h>

#include <string>
#include <vector>

namespace Burdock
{

/// Changes of the store as CBOR, as one instance tells them to another. Values are bytes.
std::string writeChanges(const std::vector<StoreEntry> &entries);

/// The changes of a message; an error where it is none.
Result<std::vector<StoreEntry>> readChanges(const std::string &bytes);

/// All keys under a prefix, with the revision that they stand for.
std::string writeRange(const StoreRange &range);
Result<StoreRange> readRange(const std::string &bytes);

} // namespace Burdock
