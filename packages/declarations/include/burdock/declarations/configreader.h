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

    /// Reads the files of a head, except those that `known` contains with the same name and hash.
    /// Conflict if a file is missing or altered; the head must then be read again.
    void readFiles(const ConfigHead &head, const DeclarationSet &known, Callback<DeclarationSet> done);

    /// Reads the existing audit records of the versions `first` to `last`, in ascending order.
    void readAudit(std::uint64_t first, std::uint64_t last, Callback<std::vector<AuditRecord>> done);

private:
    void readKeysInBatches(std::vector<std::string> keys, std::vector<StoreEntry> found, Callback<std::vector<StoreEntry>> done);

    Store &store_;
};

/// Builds the set of a head from `known` and `texts`, by file name; Conflict if a file is missing or has another hash.
Result<DeclarationSet> joinFiles(const ConfigHead &head, const DeclarationSet &known, const std::map<std::string, std::string> &texts);

} // namespace Burdock
