#pragma once

#include <burdock/declarations/confighead.h>
#include <burdock/declarations/declarationset.h>
#include <burdock/store/store.h>

#include <functional>
#include <string>
#include <vector>

namespace Burdock
{

/// Reads published configurations from the store.
class ConfigReader
{
public:
    template<class T>
    using Callback = std::function<void(Result<T>)>;

    explicit ConfigReader(Store &store);

    void readHead(Callback<StoredHead> done);

    /// Reads the files of a head; those that `known` holds by name and hash are not read again.
    /// Conflict where a file is gone or altered, so that the head must be read anew.
    void readFiles(const ConfigHead &head, const DeclarationSet &known, Callback<DeclarationSet> done);

    /// The audit records of the versions from `first` to `last`, those that exist, in that order.
    void readAudit(std::uint64_t first, std::uint64_t last, Callback<std::vector<AuditRecord>> done);

private:
    void readKeysInBatches(std::vector<std::string> keys, std::vector<StoreEntry> found, Callback<std::vector<StoreEntry>> done);

    Store &store_;
};

/// Joins a head with texts by name into its set; Conflict where one is missing or has another hash.
Result<DeclarationSet> joinFiles(const ConfigHead &head, const DeclarationSet &known, const std::map<std::string, std::string> &texts);

} // namespace Burdock
