#include <burdock/declarations/configreader.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// The maximum number of keys per store call.
constexpr std::size_t MaxKeysPerRead = 32;

/// A modRevision that no key has, so that a transaction with this condition only reads.
constexpr std::int64_t NoRevision = -1;

const DeclarationFile *findFile(const DeclarationSet &set, const std::string &name, const std::string &hash)
{
    const auto found = set.files().find(name);
    return found != set.files().end() && found->second.hash() == hash ? &found->second : nullptr;
}

} // namespace

Result<DeclarationSet> joinFiles(const ConfigHead &head, const DeclarationSet &known, const std::map<std::string, std::string> &texts)
{
    std::map<std::string, DeclarationFile> files;
    for (const auto &[name, hash] : head.files) {
        if (const DeclarationFile *file = findFile(known, name, hash)) {
            files.emplace(name, *file);
            continue;
        }
        const auto text = texts.find(name);
        if (text == texts.end() || textHash(text->second) != hash) {
            return notRun(Errc::Conflict, "the file " + name + " of version " + std::to_string(head.version) + " is missing or altered");
        }
        files.emplace(name, DeclarationFile(text->second));
    }
    return DeclarationSet(std::move(files));
}

ConfigReader::ConfigReader(Store &store)
    : store_(store)
{
}

void ConfigReader::readHead(Callback<StoredHead> done)
{
    store_.range(ConfigHeadKey, false, 1, [done = std::move(done)](Result<StoreRange> range) {
        if (!range) {
            return done(tl::make_unexpected(range.error()));
        }
        StoredHead stored;
        stored.revision = range->revision;
        if (!range->entries.empty()) {
            auto head = ConfigHead::parse(range->entries.front().value);
            if (!head) {
                return done(tl::make_unexpected(head.error()));
            }
            stored.head = std::move(*head);
            stored.modRevision = range->entries.front().modRevision;
        }
        done(std::move(stored));
    });
}

void ConfigReader::readFiles(const ConfigHead &head, const DeclarationSet &known, Callback<DeclarationSet> done)
{
    std::vector<std::string> keys;
    std::map<std::string, std::string> nameOfKey;
    for (const auto &[name, hash] : head.files) {
        if (findFile(known, name, hash) == nullptr) {
            keys.push_back(configFileKey(name, hash));
            nameOfKey.emplace(keys.back(), name);
        }
    }
    if (keys.empty()) {
        return done(joinFiles(head, known, {}));
    }
    readKeysInBatches(std::move(keys), {}, [head, known, nameOfKey = std::move(nameOfKey), done = std::move(done)](Result<std::vector<StoreEntry>> entries) {
        if (!entries) {
            return done(tl::make_unexpected(entries.error()));
        }
        std::map<std::string, std::string> texts;
        for (StoreEntry &entry : *entries) {
            const auto name = nameOfKey.find(entry.key);
            if (name != nameOfKey.end()) {
                texts.emplace(name->second, std::move(entry.value));
            }
        }
        done(joinFiles(head, known, texts));
    });
}

void ConfigReader::readAudit(std::uint64_t first, std::uint64_t last, Callback<std::vector<AuditRecord>> done)
{
    std::vector<std::string> keys;
    for (std::uint64_t version = first; version <= last; ++version) {
        keys.push_back(configAuditKey(version));
    }
    if (keys.empty()) {
        return done(std::vector<AuditRecord>());
    }
    readKeysInBatches(std::move(keys), {}, [done = std::move(done)](Result<std::vector<StoreEntry>> entries) {
        if (!entries) {
            return done(tl::make_unexpected(entries.error()));
        }
        std::vector<AuditRecord> records;
        for (const StoreEntry &entry : *entries) {
            auto record = AuditRecord::parse(entry.value);
            if (!record) {
                return done(tl::make_unexpected(record.error()));
            }
            records.push_back(std::move(*record));
        }
        std::sort(records.begin(), records.end());
        done(std::move(records));
    });
}

void ConfigReader::readKeysInBatches(std::vector<std::string> keys, std::vector<StoreEntry> found, Callback<std::vector<StoreEntry>> done)
{
    StoreTransaction read;
    read.conditions.push_back({ConfigHeadKey, NoRevision});
    const std::size_t count = std::min(keys.size(), MaxKeysPerRead);
    const auto middle = keys.end() - static_cast<std::ptrdiff_t>(count);
    read.readOnConflict.assign(std::make_move_iterator(middle), std::make_move_iterator(keys.end()));
    keys.erase(middle, keys.end());
    store_.commit(std::move(read), [this, keys = std::move(keys), found = std::move(found), done = std::move(done)](Result<StoreCommit> commit) mutable {
        if (!commit) {
            Failure failure = commit.error();
            failure.verdict = Verdict::NotRun;
            return done(tl::make_unexpected(std::move(failure)));
        }
        std::move(commit->current.begin(), commit->current.end(), std::back_inserter(found));
        if (keys.empty()) {
            return done(std::move(found));
        }
        readKeysInBatches(std::move(keys), std::move(found), std::move(done));
    });
}

} // namespace Burdock
